use std::cell::Cell;
use std::convert::Infallible;

use futures_util::future::join;

use super::{BUDGET_BYTES, WorkBudget, run_in_steps};

/// Guards against a computation that keeps the thread until it ends.
#[tokio::test(flavor = "current_thread")]
async fn other_tasks_run_between_the_steps() {
    const STEPS: u32 = 10;
    let steps = Cell::new(0);
    let mut steps_seen = Vec::new();
    let computation = run_in_steps(|| {
        steps.set(steps.get() + 1);
        Ok::<_, Infallible>((steps.get() == STEPS).then_some(()))
    });
    let other_task = async {
        while steps.get() < STEPS {
            steps_seen.push(steps.get());
            tokio::task::yield_now().await;
        }
    };
    let (result, ()) = join(computation, other_task).await;
    assert_eq!(result, Ok(()));
    assert_eq!(steps_seen, (1..STEPS).collect::<Vec<_>>());
}

#[tokio::test(flavor = "current_thread")]
async fn other_tasks_run_whenever_the_budget_is_spent() {
    let mut budget = WorkBudget::default();
    let runs = Cell::new(0);
    let work = async {
        for _ in 0..8 {
            budget.charge(BUDGET_BYTES / 2);
            budget.yield_if_spent().await;
        }
    };
    let other_task = async {
        for _ in 0..4 {
            runs.set(runs.get() + 1);
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        biased;
        () = work => {}
        () = other_task => {}
    }
    assert_eq!(runs.get(), 4);
}
