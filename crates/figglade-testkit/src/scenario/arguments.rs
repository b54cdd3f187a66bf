//! Reads the arguments of scenario commands.

use std::time::Duration;

use datadriven::TestCase;
use serde_json::{Map, Value};

use super::ScenarioError;

/// The bound on each wait where the command names none, in seconds.
const DEFAULT_PATIENCE_S: u64 = 45;

/// Takes the instances a command names, such as `i1 i3`, as numbers from zero.
pub(super) fn take_instances(case: &mut TestCase) -> Vec<usize> {
    let named = case.args.iter().filter(|(_, values)| values.is_empty());
    let mut numbers: Vec<usize> =
        named.filter_map(|(name, _)| parse_instance(name).map(|number| number - 1)).collect();
    numbers.sort_unstable();
    for number in &numbers {
        case.args.remove(&format!("i{}", number + 1));
    }
    numbers
}

/// Takes the one instance a command names.
pub(super) fn take_instance(case: &mut TestCase) -> Result<usize, ScenarioError> {
    match take_instances(case)[..] {
        [number] => Ok(number),
        _ => Err(ScenarioError::usage("name one instance, such as i1")),
    }
}

/// Takes the bound on a wait.
pub(super) fn take_patience(case: &mut TestCase) -> Result<Duration, ScenarioError> {
    let seconds = case.try_take_arg("within")?.unwrap_or(DEFAULT_PATIENCE_S);
    Ok(Duration::from_secs(seconds))
}

/// Takes every argument that is left as a JSON object.
pub(super) fn take_rest(case: &mut TestCase) -> Map<String, Value> {
    let rest = std::mem::take(&mut case.args);
    rest.into_iter().map(|(name, values)| (name, parse_value(&values.join(",")))).collect()
}

/// Reads `i3` as 3.
fn parse_instance(name: &str) -> Option<usize> {
    let number = name.strip_prefix('i')?.parse().ok()?;
    (number > 0).then_some(number)
}

/// Reads a number or leaves text as it is.
fn parse_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::from(text))
}
