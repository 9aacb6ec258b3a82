//! Short runs of the seeds that have failed before, each with the cause of its failure.

use std::time::Duration;

use daisychute_standin::harness::{HarnessError, Program, wait_until};

/// Maximum time of a run, with the starts and stops of its processes.
const RUN_TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum time until a run that is asked to end has ended.
const END_TIMEOUT: Duration = Duration::from_secs(10);

/// Generates a test for each seed.
macro_rules! seeds {
    ($($(#[doc = $cause:literal])* $name:ident: $seed:literal,)*) => {$(
        $(#[doc = $cause])*
        #[test]
        fn $name() -> Result<(), HarnessError> {
            actix_rt::System::new().block_on(run_seed($seed))
        }
    )*};
}

seeds! {
    /// Has not failed; CI runs this seed each time.
    seed_1: 1,
    /// A call was sent while a stopping front closed its connection, and was not forwarded. The check counted it as lost.
    seed_2: 2,
    /// Generating workers sent a late or extra response with a plain body, a fault of the stand-in.
    seed_3: 3,
}

/// A front took streams for as long as its shutdown accepted connections, and cut the last ones.
#[test]
fn planned_changes_cut_no_long_stream() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "7101", "--minutes", "0.3", "--planned-only"];
    actix_rt::System::new().block_on(run(&args))
}

/// Fronts sent requests to workers that had announced to leave, or asked for a pause.
#[test]
fn announcements_of_workers_are_heeded() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "1", "--minutes", "0.2", "--planned-only", "--notices"];
    actix_rt::System::new().block_on(run(&args))
}

/// Streams went on at workers of another software version, within a response and when clients resumed them.
#[test]
fn resumed_streams_keep_their_software_version() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "11", "--minutes", "0.2", "--planned-only", "--versions"];
    actix_rt::System::new().block_on(run(&args))
}

/// Streams of a version that joined during a cut of a front went on there at the only version that it knew.
#[test]
fn streams_keep_their_software_version_at_fronts_that_are_cut_off() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "76006", "--minutes", "0.2", "--versions", "--cuts"];
    actix_rt::System::new().block_on(run(&args))
}

/// Each front that started ended workers until its peers announced the part again, and few prompts were served.
#[test]
fn prompts_that_end_workers_are_refused() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "2", "--minutes", "0.3", "--planned-only", "--poison"];
    actix_rt::System::new().block_on(run(&args))
}

/// A call that its client sent again and again ended each worker that ran it.
#[test]
fn calls_that_end_workers_are_refused() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "4", "--minutes", "0.35", "--planned-only", "--crashing-requests"];
    actix_rt::System::new().block_on(run(&args))
}

/// Workers that ended after the last fault, while its cleanups were still due, weren't started again.
#[test]
fn workers_that_end_beside_the_last_cleanups_start_again() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "70417", "--seeds", "2", "--minutes", "0.002", "--planned-only"];
    actix_rt::System::new().block_on(run(&[&args[..], &["--crashing-requests"]].concat()))
}

/// Fronts sent workers that named a limit as many requests as others, whatever the limit and the number of fronts.
#[test]
fn limits_of_workers_hold() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "5", "--minutes", "0.4", "--planned-only", "--limits"];
    actix_rt::System::new().block_on(run(&args))
}

/// Fronts handled requests by an old configuration for as long as their watches waited, after a response of the store was
/// lost.
#[test]
fn changes_are_in_force_in_time() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "53110", "--minutes", "0.5", "--changes", "--fronts", "6"];
    actix_rt::System::new().block_on(run(&args))
}

/// Fronts on slow links received large configurations too late, or each of a series in turn.
#[test]
fn large_changes_over_slow_links_are_in_force_in_time() -> Result<(), HarnessError> {
    let options = ["--changes", "--slow-links", "--fronts", "4"];
    let args = ["run", "--seed", "67101", "--minutes", "0.3"].into_iter().chain(options);
    actix_rt::System::new().block_on(run(&args.collect::<Vec<_>>()))
}

/// Fronts learned of no change of the workers any more, and served nothing once they were started again, while an entry of
/// another writer ended a page of a list.
#[test]
fn foreign_entries_hide_no_others() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "70302", "--minutes", "0.2", "--changes", "--foreign-entries"];
    actix_rt::System::new().block_on(run(&args))
}

/// Streams of killed workers, without length and chunks, looked whole to their clients and lacked their last events.
#[test]
fn streams_of_ended_workers_look_whole_only_if_they_are() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "2", "--minutes", "0.2", "--streams", "--fronts", "5"];
    actix_rt::System::new().block_on(run(&args))
}

/// Guards against streams that look whole and lack their last events, of workers that close their streams in order and end later.
#[test]
fn streams_of_leaving_workers_look_whole_only_if_they_are() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "59101", "--minutes", "0.2", "--streams", "--departures"];
    actix_rt::System::new().block_on(run(&[&args[..], &["--fronts", "5"]].concat()))
}

/// A soak that was ended left its fronts running.
#[test]
fn ended_run_leaves_no_process() -> Result<(), HarnessError> {
    actix_rt::System::new().block_on(async {
        let args = ["run", "--seed", "1", "--minutes", "2", "--streams", "--fronts", "2"];
        let mut soak = Program::built("daisychute-soak")?.args(args).start()?;
        // Six workers and two fronts.
        let id = soak.id();
        wait_until("the processes of a run", RUN_TIMEOUT, || children(id).len() >= 8).await?;
        let children = children(id);
        soak.terminate()?;
        let status = soak.wait_exit(END_TIMEOUT).await?;
        assert!(!status.success());
        let running: Vec<_> = children.iter().filter(|it| parent(**it).is_some()).collect();
        assert!(running.is_empty(), "{running:?} of {children:?} still run");
        Ok(())
    })
}

/// Ids of the processes that a process has started and that run.
fn children(id: u32) -> Vec<u32> {
    let entries = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let ids = entries.filter_map(|it| it.file_name().to_str()?.parse().ok());
    ids.filter(|it| parent(*it) == Some(id)).collect()
}

/// Id of the parent of a process; `None` if it doesn't run.
fn parent(id: u32) -> Option<u32> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name of the program, in parentheses, may contain spaces.
    stat.rsplit_once(") ")?.1.split(' ').nth(1)?.parse().ok()
}

async fn run_seed(seed: u64) -> Result<(), HarnessError> {
    run(&["run", "--seed", &seed.to_string(), "--minutes", "0.08"]).await
}

async fn run(args: &[&str]) -> Result<(), HarnessError> {
    let args = args.iter().copied().map(str::to_owned);
    let mut soak = Program::built("daisychute-soak")?.args(args).start()?;
    let Ok(status) = soak.wait_exit(RUN_TIMEOUT).await else {
        // Killed at once, it would leave its processes behind.
        soak.terminate()?;
        soak.wait_exit(END_TIMEOUT).await?;
        panic!("not done within {RUN_TIMEOUT:?}: {}", soak.stdout().join("\n"));
    };
    assert!(status.success(), "{}", soak.stdout().join("\n"));
    Ok(())
}

/// A store that is restored from copies costs no request, also beside workers that leave or ask for pauses.
#[test]
fn returns_of_the_store_cost_no_request() -> Result<(), HarnessError> {
    let args =
        ["run", "--seed", "29", "--minutes", "0.3", "--planned-only", "--notices", "--restores"];
    actix_rt::System::new().block_on(run(&args))
}

/// Guards against streams that get out of order, or look whole and lack events, beside workers that go silent, turn slow, fail
/// or spoil their streams, fronts that are killed all at once, and clients that go on at another front meanwhile.
#[test]
fn streams_in_rough_conditions_look_whole_only_if_they_are() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "62301", "--minutes", "0.2", "--streams", "--departures"];
    actix_rt::System::new().block_on(run(&[&args[..], &["--rough", "--fronts", "5"]].concat()))
}

/// Streams whose workers stopped work at the deadline that they were handed, and ended them by a last chunk, looked whole.
#[test]
fn streams_at_their_deadline_look_whole_only_if_they_are() -> Result<(), HarnessError> {
    let args = ["run", "--seed", "65201", "--minutes", "0.2", "--streams", "--deadlines"];
    actix_rt::System::new().block_on(run(&[&args[..], &["--fronts", "5"]].concat()))
}
