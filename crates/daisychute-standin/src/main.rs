//! Runs one stand-in until `SIGTERM`.

mod cli;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use clap::Parser as _;
use daisychute_standin::{Engine, Platform, Relay, Service, StandinError};
use serde_json::Value;
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::{Cli, Command, PlatformArgs, RelayArgs};

fn main() -> ExitCode {
    let cli = Cli::parse();
    match actix_rt::System::new().block_on(run(cli.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            print_error(&err);
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), StandinError> {
    match command {
        Command::Platform(args) => run_platform(&args).await,
        Command::Engine(args) => {
            let engine = Engine::start(args.listen, args.config()).await?;
            wait_for_sigterm(engine.local_addr()).await
        }
        Command::Service(args) => {
            let service = Service::start(args.listen, args.config()).await?;
            wait_for_sigterm(service.local_addr()).await
        }
        Command::Relay(args) => run_relay(&args).await,
    }
}

async fn run_platform(args: &PlatformArgs) -> Result<(), StandinError> {
    let platform = Platform::start(args.listen, args.config()).await?;
    if let Some(path) = &args.instances {
        for record in read_instances(path)? {
            let name = record["endpoint"].as_str().unwrap_or_default().to_owned();
            platform.put_instance(&name, record);
        }
    }
    wait_for_sigterm(platform.local_addr()).await
}

async fn run_relay(args: &RelayArgs) -> Result<(), StandinError> {
    let relay = Relay::start(args.listen, args.to, args.admin).await?;
    println!("admin {}", relay.admin_addr());
    wait_for_sigterm(relay.local_addr()).await
}

fn read_instances(path: &Path) -> Result<Vec<Value>, StandinError> {
    let path = path.to_owned();
    let json = match fs::read(&path) {
        Ok(json) => json,
        Err(source) => return Err(StandinError::Read { path, source }),
    };
    serde_json::from_slice(&json).map_err(|source| StandinError::Malformed { path, source })
}

/// Prints the listen address, which signals readiness, and waits for `SIGTERM`.
async fn wait_for_sigterm(addr: SocketAddr) -> Result<(), StandinError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StandinError::Signal)?;
    println!("listening {addr}");
    terminate.recv().await;
    Ok(())
}

fn print_error(err: &StandinError) {
    eprintln!("daisychute-standin: {err}");
    if let Some(source) = std::error::Error::source(err) {
        eprintln!("caused by: {source}");
    }
}
