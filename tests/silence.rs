//! Tests of what becomes of a stream while its replica sends nothing.

use mulberrycourse::decide::{SilenceDecision, SilentStream};

fn silent(may_resume: bool, replica_answers: bool, is_overdue: bool) -> SilenceDecision {
    SilentStream { may_resume, replica_answers, is_overdue }.decide()
}

#[test]
fn a_stream_that_may_not_be_resumed_waits_until_it_is_overdue() {
    for replica_answers in [false, true] {
        assert_eq!(silent(false, replica_answers, false), SilenceDecision::Wait);
        assert_eq!(silent(false, replica_answers, true), SilenceDecision::End);
    }
}

/// Guards against streams that are resumed at full replicas while their own replica only pauses.
#[test]
fn only_a_stream_of_a_replica_that_answers_nobody_is_resumed_at_a_full_one() {
    for is_overdue in [false, true] {
        let resume = |allow_full| SilenceDecision::Resume { allow_full };
        assert_eq!(silent(true, true, is_overdue), resume(false));
        assert_eq!(silent(true, false, is_overdue), resume(true));
    }
}
