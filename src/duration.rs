//! Durations as text: a number with the unit `ms` or `s`.

/// Parses a duration and returns it in milliseconds, or `None` if the text is invalid.
///
/// # Examples
///
/// ```
/// use carobreel::duration::parse_ms;
///
/// assert_eq!(parse_ms("1500ms"), Some(1_500));
/// assert_eq!(parse_ms("2.5s"), Some(2_500));
/// assert_eq!(parse_ms("2.5"), None);
/// assert_eq!(parse_ms("-1s"), None);
/// ```
pub fn parse_ms(text: &str) -> Option<u64> {
    let (number, factor) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1_000.0),
    };
    let value: f64 = number.trim().parse().ok()?;
    let ms = value * factor;
    (ms.is_finite() && ms >= 0.0).then_some(ms.round() as u64)
}
