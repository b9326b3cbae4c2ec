//! Line charts as SVG, for self-contained HTML pages.

use std::fmt::Write;

const WIDTH: f64 = 860.0;
const HEIGHT: f64 = 190.0;
const MARGIN_LEFT: f64 = 52.0;
const MARGIN_RIGHT: f64 = 12.0;
const MARGIN_TOP: f64 = 12.0;
const MARGIN_BOTTOM: f64 = 24.0;
/// Ticks on each axis, beyond the one at zero.
const TICKS: u32 = 4;
/// Colors that remain distinguishable with red-green color blindness.
const COLORS: [&str; 8] = [
    "#0072b2", "#e69f00", "#009e73", "#d55e00", "#cc79a7", "#56b4e9", "#999900", "#555555",
];

/// One line of a chart.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Series {
    /// The name shown in the legend.
    pub name: String,
    /// Pairs of time in seconds and value, ordered by time.
    pub points: Vec<(f64, f64)>,
}

/// Returns a chart with its legend as an HTML fragment.
///
/// # Examples
///
/// ```
/// use carobreel::chart::{render_chart, Series};
///
/// let series = Series { name: "a<b".to_string(), points: vec![(0.0, 1.0), (5.0, 3.0)] };
/// let html = render_chart("Requests", "per second", &[series], 10.0);
/// assert!(html.contains("<svg") && html.contains("a&lt;b"));
/// ```
pub fn render_chart(title: &str, unit: &str, series: &[Series], end_s: f64) -> String {
    let values = series.iter().flat_map(|s| s.points.iter().map(|(_, v)| *v));
    let axis_max = round_up_to_nice(values.fold(0.0, f64::max));
    let end_s = end_s.max(1.0);
    let x = |at: f64| MARGIN_LEFT + (WIDTH - MARGIN_LEFT - MARGIN_RIGHT) * at / end_s;
    let y = |value: f64| {
        HEIGHT - MARGIN_BOTTOM - (HEIGHT - MARGIN_TOP - MARGIN_BOTTOM) * value / axis_max
    };
    let mut svg = format!("<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\">");
    for n in 0..=TICKS {
        let share = f64::from(n) / f64::from(TICKS);
        let (at, value) = (end_s * share, axis_max * share);
        let (left, right) = (MARGIN_LEFT, WIDTH - MARGIN_RIGHT);
        append(
            &mut svg,
            format_args!(
                "<line x1=\"{left}\" x2=\"{right}\" y1=\"{0:.1}\" y2=\"{0:.1}\" class=\"grid\"/>\
                 <text x=\"{1:.1}\" y=\"{2:.1}\" class=\"y\">{3}</text>\
                 <text x=\"{4:.1}\" y=\"{5:.1}\" class=\"x\">{6:.0} s</text>",
                y(value),
                MARGIN_LEFT - 6.0,
                y(value) + 4.0,
                format_value(value),
                x(at),
                HEIGHT - 6.0,
                at
            ),
        );
    }
    let mut legend = String::new();
    for (n, line) in series.iter().enumerate() {
        let color = COLORS[n % COLORS.len()];
        let points = line.points.iter();
        let points: Vec<String> = points
            .map(|(at, value)| format!("{:.1},{:.1}", x(*at), y(*value)))
            .collect();
        append(
            &mut svg,
            format_args!(
                "<polyline points=\"{}\" fill=\"none\" stroke=\"{color}\" stroke-width=\"1.6\"/>",
                points.join(" ")
            ),
        );
        append(
            &mut legend,
            format_args!(
                "<span><i style=\"background:{color}\"></i>{}</span>",
                escape_html(&line.name)
            ),
        );
    }
    format!(
        "<section><h2>{} <small>{}</small></h2>{svg}</svg><p class=\"legend\">{legend}</p></section>",
        escape_html(title),
        escape_html(unit)
    )
}

/// Escapes the characters that are special in HTML.
pub fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

fn append(text: &mut String, part: std::fmt::Arguments<'_>) {
    // Writing to a string can't fail.
    let _ = text.write_fmt(part);
}

/// Returns the smallest number of the form 1, 2 or 5 times a power of ten that is at least `value`.
fn round_up_to_nice(value: f64) -> f64 {
    if value <= 0.0 {
        return 1.0;
    }
    let power = 10_f64.powf(value.log10().floor());
    let steps = [1.0, 2.0, 5.0, 10.0].iter().map(|s| s * power);
    steps.into_iter().find(|s| *s >= value).unwrap_or(value)
}

fn format_value(value: f64) -> String {
    if value >= 10.0 || value == value.trunc() {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}
