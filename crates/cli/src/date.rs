//! Formats timestamps.

const MILLIS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_DAY: u64 = 86_400;

/// Formats a time, in milliseconds since 1970, as date and time in UTC, such as
/// `1970-01-01T00:00:00Z`.
pub(crate) fn format_utc(millis: u64) -> String {
    let seconds = millis / MILLIS_PER_SECOND;
    let (year, month, day) = civil_date(seconds / SECONDS_PER_DAY);
    let rest = seconds % SECONDS_PER_DAY;
    let (hour, minute, second) = (rest / 3600, rest / 60 % 60, rest % 60);
    format!("{year}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts days since 1970-01-01 to year, month and day of the Gregorian calendar.
///
/// Splits the days into cycles of 400 years, which all have the same number of days. Within a
/// cycle, years are counted from March, so that the leap day is the last day of its year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let (cycle, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let month_day = day - (153 * month + 2) / 5 + 1;
    let (month, carry) = match month < 10 {
        true => (month + 3, 0),
        false => (month - 9, 1),
    };
    (cycle * 400 + year + carry, month, month_day)
}
