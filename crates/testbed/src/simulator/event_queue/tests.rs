use proptest::prelude::*;

use super::EventQueue;

proptest! {
    /// Interleaved pushes and pops yield events in the same order as a sorted list.
    #[test]
    fn events_are_popped_by_time_and_in_push_order_at_equal_times(
        pushes in prop::collection::vec((0u64..40_000_000, any::<bool>()), 1..200),
    ) {
        let mut queue = EventQueue::new();
        let mut list = Vec::new();
        let mut now = 0;
        for (event, (delay, pop)) in pushes.into_iter().enumerate() {
            queue.push(now + delay, event);
            list.push((now + delay, event));
            if pop {
                list.sort_unstable();
                let first = list.remove(0);
                prop_assert_eq!(queue.pop(), Some(first));
                now = first.0;
            }
        }
        list.sort_unstable();
        for first in list {
            prop_assert_eq!(queue.pop(), Some(first));
        }
        prop_assert!(queue.pop().is_none());
    }
}
