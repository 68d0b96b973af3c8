//! Which statuses a final response can have.

use http::StatusCode;

/// The statuses of final responses. The HTTP library lets also 101 and 600 to 999 pass.
const FINAL: std::ops::RangeInclusive<u16> = 200..=599;

/// Returns the reason why a status is not that of a final response.
pub(crate) fn check_final(status: StatusCode) -> Result<(), String> {
    if FINAL.contains(&status.as_u16()) {
        return Ok(());
    }
    Err(format!("{} is not the status of a final response", status.as_u16()))
}
