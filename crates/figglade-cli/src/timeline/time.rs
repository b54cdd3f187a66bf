//! Formats wall times.

use std::time::{SystemTime, UNIX_EPOCH};

use figglade::WallTime;

/// The milliseconds of a day.
const DAY_MS: u64 = 86_400_000;

/// Returns the current wall time.
pub fn wall_now() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime::from_millis(since_epoch.unwrap_or_default().as_millis() as u64)
}

/// Formats a wall time in UTC, such as `2026-05-04 10:05:28.250`.
pub fn format_time(wall: WallTime) -> String {
    let millis = wall.as_millis();
    let (year, month, day) = civil_date(millis / DAY_MS);
    let (hour, minute) = (millis / 3_600_000 % 24, millis / 60_000 % 60);
    let (second, milli) = (millis / 1_000 % 60, millis % 1_000);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}.{milli:03}")
}

/// Converts days since 1970-01-01 to year, month and day of the Gregorian calendar.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // Years start in March, so that the leap day is the last day of a year; an era has 400 years.
    let shifted = days + 719_468;
    let (era, day_of_era) = (shifted / 146_097, shifted % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
