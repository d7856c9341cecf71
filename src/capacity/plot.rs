//! A small plot of each slope.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::capacity::CapacityReport;
use crate::capacity::report::SlopeFigure;
use crate::errors::CapacityError;

const SIZE_PX: (u32, u32) = (420, 260);
const LABEL_PX: u32 = 14;
const MARGIN_PX: u32 = 8;
const X_AXIS_PX: u32 = 32;
const Y_AXIS_PX: u32 = 64;
const POINT_PX: u32 = 4;
const LINE: RGBColor = RGBColor(31, 119, 180);
const POINT: RGBColor = RGBColor(214, 39, 40);
/// Room above the highest point.
const HEADROOM: f64 = 1.15;

/// Draws one file for each slope into a folder.
///
/// # Errors
/// When a file cannot be drawn.
pub fn draw_slopes(report: &CapacityReport, folder: &Path) -> Result<(), CapacityError> {
    for (name, figure) in &report.slopes {
        let path = folder.join(format!("{name}.svg"));
        draw(name, figure, &path).map_err(|source| CapacityError::Plot {
            path: path.clone(),
            reason: source.to_string(),
        })?;
    }
    Ok(())
}

fn draw(name: &str, figure: &SlopeFigure, path: &Path) -> Result<(), Box<dyn Error>> {
    let right = figure
        .points
        .iter()
        .map(|point| point.0)
        .fold(1.0, f64::max)
        * HEADROOM;
    let tops = figure.points.iter().zip(&figure.std_devs);
    let top = tops
        .map(|((_, value), std_dev)| value + std_dev)
        .fold(f64::MIN_POSITIVE, f64::max)
        * HEADROOM;
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(name.replace('_', " "), ("sans-serif", LABEL_PX))
        .margin(MARGIN_PX)
        .x_label_area_size(X_AXIS_PX)
        .y_label_area_size(Y_AXIS_PX)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("nodes")
        .x_labels(6)
        .y_labels(5)
        .disable_x_mesh()
        .draw()?;
    let ends = [0.0, right].map(|x| (x, figure.slope.at(x).clamp(0.0, top)));
    chart.draw_series(LineSeries::new(ends, &LINE))?;
    let points = figure.points.iter();
    chart.draw_series(points.map(|point| Circle::new(*point, POINT_PX, POINT.filled())))?;
    let bars = figure.points.iter().zip(&figure.std_devs);
    chart.draw_series(bars.map(|((x, y), std_dev)| {
        PathElement::new([(*x, (y - std_dev).max(0.0)), (*x, y + std_dev)], POINT)
    }))?;
    root.present()?;
    Ok(())
}
