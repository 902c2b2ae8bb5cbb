//! What a balancer makes of answers and reports. Decisions are in `policy/`.

mod latency;
mod load;
mod saturation;
mod slow_start;

use crate::state::*;
use crate::*;
pub(crate) use latency::{FLEET_WEIGHT, SERVER_WEIGHT};
