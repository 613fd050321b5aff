package org.ploverspindle.leadership;

import java.util.function.BooleanSupplier;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.WorkerCommand;
import org.ploverspindle.state.Replica;

/**
 * Removes commands from heartbeat responses while this leader's lease in the state service is not
 * certainly valid, as another controller may have been elected by then.
 */
final class AuthorityFilter {
  private final Replica replica;
  private final BooleanSupplier isAuthoritative;

  AuthorityFilter(Replica replica, BooleanSupplier isAuthoritative) {
    this.replica = replica;
    this.isAuthoritative = isAuthoritative;
  }

  /** Whether this leader's lease is certainly valid, so that it may send any command now. */
  boolean isAuthoritative() {
    return isAuthoritative.getAsBoolean();
  }

  /**
   * Returns the response without any commands but the stops of cancelled jobs. These are correct
   * whichever controller leads, as a recorded cancellation is final. Each response renews a worker
   * lease: without the stops, a leader that lost the state service before it stopped the tasks of a
   * cancelled job would let them run beyond the time limit for cancellations.
   */
  HeartbeatHandler.Response cancellationStopsOnly(HeartbeatHandler.Response response) {
    return new HeartbeatHandler.Response(
        response.fencingToken(),
        response.commands().stream().filter(this::isCancellationStop).toList());
  }

  private boolean isCancellationStop(WorkerCommand command) {
    return command instanceof WorkerCommand.Stop && replica.endedJobs().isCancelled(command.uid());
  }
}
