//! What a balancer makes of answers and reports. Decisions are in `logic/`.

mod load;
mod pace;
mod strain;
mod warmth;

use crate::api::*;
use crate::state::*;
pub(crate) use pace::{MEAN_WEIGHT, PACE_WEIGHT};
