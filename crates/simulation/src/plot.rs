//! Plots of a run and of an experiment, as SVG text.

use crate::timeline::{Bar, FaultInterval, Point, Timeline};
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};
use std::collections::BTreeMap;

/// Width and height of a plot, px.
const SIZE: (u32, u32) = (920, 240);
/// Machines in a Gantt plot at most; a longer list is not legible.
const MAX_GANTT_MACHINES: usize = 80;
/// Height of a row of the Gantt plot, px.
const ROW_PX: u32 = 9;

/// Colours that most readers can distinguish, also in print (Okabe and Ito).
const COLOURS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(230, 159, 0),
    RGBColor(90, 90, 90),
];

/// Returns the colour of a series.
pub fn colour(i: usize) -> RGBColor {
    COLOURS[i % COLOURS.len()]
}

/// Name and points of a line.
type Series<'a> = (&'a str, Vec<(f64, f64)>);

/// Plots lines over time, with faults as shaded bands. Returns an empty text if the plot
/// cannot be drawn.
pub fn lines(series: &[Series], faults: &[FaultInterval]) -> String {
    let mut svg = String::new();
    match draw(&mut svg, series, faults) {
        Ok(()) => svg,
        Err(_) => String::new(),
    }
}

fn draw(
    svg: &mut String,
    series: &[Series],
    faults: &[FaultInterval],
) -> Result<(), Box<dyn std::error::Error>> {
    let all = || series.iter().flat_map(|s| &s.1);
    let end = all().map(|p| p.0).fold(1.0, f64::max);
    let top = all().map(|p| p.1).fold(1.0, f64::max) * 1.08;
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&root)
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .bold_line_style(BLACK.mix(0.08))
        .x_labels(12)
        .y_labels(5)
        .x_label_formatter(&|s| format!("{s:.0} s"))
        .y_label_formatter(&|v| format!("{v:.0}"))
        .draw()?;
    for fault in faults {
        // A fault without duration is drawn as a thin line.
        let to = fault.to_s.max(fault.from_s + end / 400.0);
        let area = [(fault.from_s, 0.0), (to, top)];
        chart.draw_series([Rectangle::new(area, RED.mix(0.10).filled())])?;
    }
    for (i, (name, points)) in series.iter().enumerate() {
        let line = LineSeries::new(points.iter().copied(), colour(i).stroke_width(2));
        chart.draw_series(line)?.label(*name).legend(move |(x, y)| {
            PathElement::new([(x, y), (x + 16, y)], colour(i).stroke_width(2))
        });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}

/// Plots the change by load. The points of each arm are its load, its change, and the bounds
/// of the interval of the change. Returns an empty text if the plot cannot be drawn.
pub fn intervals(series: &BTreeMap<&str, Vec<[f64; 4]>>) -> String {
    let mut svg = String::new();
    match draw_intervals(&mut svg, series) {
        Ok(()) => svg,
        Err(_) => String::new(),
    }
}

fn draw_intervals(
    svg: &mut String,
    series: &BTreeMap<&str, Vec<[f64; 4]>>,
) -> Result<(), Box<dyn std::error::Error>> {
    let all = || series.values().flatten();
    let bottom = all().map(|p| p[2]).fold(-1.0, f64::min) * 1.1;
    let top = all().map(|p| p[3]).fold(1.0, f64::max) * 1.1;
    let left = all().map(|p| p[0]).fold(f64::INFINITY, f64::min) - 0.05;
    let right = all().map(|p| p[0]).fold(0.0, f64::max) + 0.05;
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&root)
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(54)
        .build_cartesian_2d(left..right, bottom..top)?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .bold_line_style(BLACK.mix(0.08))
        .y_label_formatter(&|v| format!("{v:.0}%"))
        .draw()?;
    chart.draw_series([PathElement::new(
        [(left, 0.0), (right, 0.0)],
        BLACK.mix(0.5),
    )])?;
    for (i, (name, points)) in series.iter().enumerate() {
        // The arms are drawn side by side, so that their intervals do not overlap.
        let offset = (i as f64 - series.len() as f64 / 2.0) * 0.008;
        let line = points.iter().map(|p| (p[0] + offset, p[1]));
        chart
            .draw_series(LineSeries::new(line, colour(i).stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| {
                PathElement::new([(x, y), (x + 16, y)], colour(i).stroke_width(2))
            });
        chart.draw_series(points.iter().map(|p| {
            let at = p[0] + offset;
            PathElement::new([(at, p[2]), (at, p[3])], colour(i).stroke_width(1))
        }))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}

/// Returns the classes of the tasks that ran, sorted.
fn classes(t: &Timeline) -> Vec<&str> {
    let mut classes: Vec<&str> = t.bars.iter().filter_map(|b| b.class.as_deref()).collect();
    classes.sort_unstable();
    classes.dedup();
    classes
}

/// Plots the boots of machines and the tasks on them over time; `None` if there is no machine
/// or more than [`MAX_GANTT_MACHINES`].
fn gantt(t: &Timeline) -> Option<String> {
    let mut machines: Vec<&str> = t.bars.iter().map(|b| b.machine.as_str()).collect();
    machines.sort_unstable();
    machines.dedup();
    if machines.is_empty() || machines.len() > MAX_GANTT_MACHINES {
        return None;
    }
    let mut svg = String::new();
    draw_gantt(&mut svg, t, &machines, &classes(t)).ok()?;
    Some(svg)
}

fn draw_gantt(
    svg: &mut String,
    t: &Timeline,
    machines: &[&str],
    classes: &[&str],
) -> Result<(), Box<dyn std::error::Error>> {
    let end = t.points.last().map_or(1.0, |p| p.at_s).max(1.0);
    let height = machines.len() as u32 * ROW_PX + 60;
    let root = SVGBackend::with_string(svg, (SIZE.0, height)).into_drawing_area();
    let rows = machines.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(66)
        .build_cartesian_2d(0.0..end, 0.0..rows)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .light_line_style(TRANSPARENT)
        .bold_line_style(BLACK.mix(0.08))
        .y_labels(0)
        .x_labels(12)
        .x_label_formatter(&|s| format!("{s:.0} s"))
        .draw()?;
    let row: BTreeMap<&str, usize> = machines.iter().enumerate().map(|(i, m)| (*m, i)).collect();
    let style = ("sans-serif", 8).into_font();
    let style = style.color(&BLACK).pos(Pos::new(HPos::Right, VPos::Center));
    for (name, i) in &row {
        let (x, y) = chart.backend_coord(&(0.0, *i as f64 + 0.5));
        root.draw(&Text::new(name.to_string(), (x - 4, y), style.clone()))?;
    }
    let rectangle = |b: &Bar, top: f64, bottom: f64, fill: RGBAColor| {
        Rectangle::new([(b.from_s, bottom), (b.to_s, top)], fill.filled())
    };
    for b in &t.bars {
        let at = row.get(b.machine.as_str()).copied().unwrap_or(0) as f64;
        let fill = match &b.class {
            None => BLACK.mix(0.18),
            // Tasks of a machine overlap: the darker the row, the more tasks run.
            Some(c) => colour(classes.iter().position(|x| x == c).unwrap_or(0)).mix(0.28),
        };
        chart.draw_series([rectangle(b, at + 0.92, at + 0.08, fill)])?;
    }
    for fault in &t.faults {
        let to = fault.to_s.max(fault.from_s + end / 400.0);
        let area = [(fault.from_s, 0.0), (to, rows)];
        chart.draw_series([Rectangle::new(area, RED.mix(0.06).filled())])?;
    }
    root.present()?;
    Ok(())
}

/// Returns the titles and plots of a run.
pub fn timeline_plots(t: &Timeline) -> Vec<(String, String)> {
    let series = |get: &dyn Fn(&Point) -> f64| -> Vec<(f64, f64)> {
        t.points.iter().map(|p| (p.at_s, get(p))).collect()
    };
    let cumulative = |get: &dyn Fn(&Point) -> u32| -> Vec<(f64, f64)> {
        let mut sum = 0;
        let add = |p: &Point| {
            sum += get(p);
            (p.at_s, f64::from(sum))
        };
        t.points.iter().map(add).collect()
    };
    let levels = t.points.iter().map(|p| p.waiting.len()).max().unwrap_or(0);
    let names = ["short level", "middle level", "long level"];
    let waiting: Vec<Series> = (0..levels)
        .map(|l| {
            let name = names.get(l).copied().unwrap_or("level");
            (
                name,
                series(&|p| p.waiting.get(l).copied().map_or(0.0, f64::from)),
            )
        })
        .collect();
    let mut out = vec![
        (
            "Machines".to_string(),
            lines(
                &[
                    ("up", series(&|p| f64::from(p.up))),
                    ("booting", series(&|p| f64::from(p.booting))),
                ],
                &t.faults,
            ),
        ),
        (
            "CPUs".to_string(),
            lines(
                &[
                    ("up", series(&|p| p.cpus_up)),
                    ("running tasks", series(&|p| p.cpus_running)),
                    ("waiting for images", series(&|p| p.cpus_fetching)),
                ],
                &t.faults,
            ),
        ),
        (
            "Money an hour, at nominal prices".to_string(),
            lines(&[("money", series(&|p| p.hourly))], &t.faults),
        ),
        (
            "Jobs, cumulative".to_string(),
            lines(
                &[
                    ("submitted", cumulative(&|p| p.submitted)),
                    ("accepted", cumulative(&|p| p.accepted)),
                    ("done or cancelled", cumulative(&|p| p.done)),
                ],
                &t.faults,
            ),
        ),
        (
            "Tasks waiting in each level".to_string(),
            lines(&waiting, &t.faults),
        ),
        (
            "Controllers that are up".to_string(),
            lines(&[("up", series(&|p| f64::from(p.nodes)))], &t.faults),
        ),
    ];
    if let Some(svg) = gantt(t) {
        let names = [
            "blue",
            "vermilion",
            "green",
            "purple",
            "sky",
            "orange",
            "grey",
        ];
        let classes = classes(t);
        let legend = classes.iter().enumerate().map(|(i, c)| {
            let colour = names[i % names.len()];
            format!(", {c} {colour}")
        });
        let legend: String = legend.collect();
        out.push((
            format!("Machines over time: booting light grey{legend}"),
            svg,
        ));
    }
    out.retain(|(_, svg)| !svg.is_empty());
    out
}
