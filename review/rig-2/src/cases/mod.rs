pub mod crowd;
pub mod large_list;
pub mod late_copy;
pub mod short_length;
pub mod slow_discovery;
pub mod slow_writer;
