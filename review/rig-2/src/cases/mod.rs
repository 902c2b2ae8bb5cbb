pub mod crowd;
pub mod held_up_end;
pub mod short_length;
pub mod slow_discovery;
pub mod slow_writer;
