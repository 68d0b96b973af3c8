//! What becomes of a stream while its replica sends nothing.
//!
//! Load pattern: replicas that run out of memory stop their newest streams for seconds, and go on with
//! them once there is room. A node that breaks off such a stream throws away an answer that was
//! coming. One that runs it again elsewhere at once takes room just when there is none. A replica
//! that hangs looks the same to the stream, but answers nobody.

/// A stream whose replica has sent nothing of it for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilentStream {
    /// Whether it may go on at another replica, by its route and the attempts that are left.
    pub may_resume: bool,
    /// Whether the replica sends other responses.
    pub replica_answers: bool,
    /// Whether the client's deadline or the route's timeout has passed, and clients don't wait for an
    /// event for longer.
    pub is_overdue: bool,
}

/// What becomes of a silent stream. Its replica stays open in any case until another one answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceDecision {
    /// It waits for its replica.
    Wait,
    /// It is also requested at another replica.
    Resume {
        /// Whether this may be one without a free slot.
        allow_full: bool,
    },
    /// It is broken off.
    End,
}

impl SilentStream {
    /// Decides what becomes of the stream.
    pub fn decide(self) -> SilenceDecision {
        if self.may_resume {
            SilenceDecision::Resume { allow_full: !self.replica_answers }
        } else if self.is_overdue {
            SilenceDecision::End
        } else {
            SilenceDecision::Wait
        }
    }
}
