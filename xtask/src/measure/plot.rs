//! `cargo xtask measure plot`: plots goodput and engine roles over the time of a trace, as SVG.

use std::path::PathBuf;

use daisychute_load::replay::{PolicyName, Report, Sample, replay};
use plotters::prelude::*;

use super::policy::read_trace;
use crate::XtaskError;

/// Width and height of the picture in pixels.
const SIZE: (u32, u32) = (900, 520);
/// Number of samples that one point of the goodput line averages.
const WINDOW: usize = 5;

/// Plots goodput and engine roles over the time of a trace.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Trace file to replay.
    trace: PathBuf,
    /// SVG file to write.
    out: PathBuf,
}

impl Args {
    pub(crate) fn run(&self) -> Result<(), XtaskError> {
        let trace = read_trace(&self.trace)?;
        let report = replay(&trace, PolicyName::Ours);
        draw(self, &trace.header.trace, &report)
            .map_err(|it| XtaskError::Plot { reason: it.to_string() })
    }
}

/// Label and colour of a line, and the number of engines that it shows for a sample.
type RoleLine = (&'static str, RGBColor, fn(&Sample) -> u32);
type DrawResult<'a> =
    Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn draw<'a>(args: &'a Args, title: &str, report: &Report) -> DrawResult<'a> {
    let area = SVGBackend::new(&args.out, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE.1 / 2);
    let samples: Vec<Sample> =
        report.samples.iter().copied().filter(|it| it.offered > 0.0).collect();
    let end = samples.last().map_or(1.0, |it| it.at);

    let mut goodput = ChartBuilder::on(&upper)
        .caption(format!("{title}: goodput"), ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end, 0.0..1.05)?;
    goodput.configure_mesh().light_line_style(WHITE).draw()?;
    goodput.draw_series(LineSeries::new(goodput_points(&samples), &BLUE))?;

    let max_engines = samples.iter().map(|it| it.prefill.max(it.decode)).max().unwrap_or(1) + 1;
    let mut roles = ChartBuilder::on(&lower)
        .caption("engines by role; s", ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end, 0..max_engines)?;
    roles.configure_mesh().light_line_style(WHITE).draw()?;
    let lines: [RoleLine; 3] = [
        ("prefill", RED, |it| it.prefill),
        ("decode", GREEN, |it| it.decode),
        ("away", BLACK, |it| it.away),
    ];
    for (label, colour, count) in lines {
        let points = samples.iter().map(|it| (it.at, count(it)));
        roles
            .draw_series(LineSeries::new(points, &colour))?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    roles.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()
}

fn goodput_points(samples: &[Sample]) -> impl Iterator<Item = (f64, f64)> {
    samples.windows(WINDOW).map(|it| {
        let good: f64 = it.iter().map(|it| it.good).sum();
        let offered: f64 = it.iter().map(|it| it.offered).sum();
        (it[WINDOW / 2].at, good / offered.max(1.0))
    })
}
