//! `cargo xtask measure plot`: goodput and roles over a trace, as SVG.

use std::path::PathBuf;

use daisychute_load::replay::{PolicyName, Report, Sample, replay};
use plotters::prelude::*;

use super::policy::read;
use crate::XtaskError;

const SIZE: (u32, u32) = (900, 520);
/// Samples that one point of the goodput line is the mean of.
const WINDOW: usize = 5;

/// What to plot.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// The trace.
    trace: PathBuf,
    /// The file to write.
    out: PathBuf,
}

impl Args {
    pub(crate) fn run(&self) -> Result<(), XtaskError> {
        let trace = read(&self.trace)?;
        let report = replay(&trace, PolicyName::Ours);
        draw(self, &trace.header.trace, &report)
            .map_err(|it| XtaskError::Plot { reason: it.to_string() })
    }
}

/// The label of a line, its colour and what it counts.
type Line = (&'static str, RGBColor, fn(&Sample) -> u32);
type Drawn<'a> = Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn draw<'a>(args: &'a Args, title: &str, report: &Report) -> Drawn<'a> {
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
    goodput.draw_series(LineSeries::new(goodput_line(&samples), &BLUE))?;

    let most = samples.iter().map(|it| it.prefill.max(it.decode)).max().unwrap_or(1) + 1;
    let mut roles = ChartBuilder::on(&lower)
        .caption("engines by role; s", ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end, 0..most)?;
    roles.configure_mesh().light_line_style(WHITE).draw()?;
    let lines: [Line; 3] = [
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

fn goodput_line(samples: &[Sample]) -> impl Iterator<Item = (f64, f64)> {
    samples.windows(WINDOW).map(|it| {
        let good: f64 = it.iter().map(|it| it.good).sum();
        let offered: f64 = it.iter().map(|it| it.offered).sum();
        (it[WINDOW / 2].at, good / offered.max(1.0))
    })
}
