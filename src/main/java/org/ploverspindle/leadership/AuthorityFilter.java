package org.ploverspindle.leadership;

import java.util.function.BooleanSupplier;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.WorkerCommand;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;

/**
 * Removes from a heartbeat response the commands that a leader without certain authority must not
 * send.
 */
final class AuthorityFilter {
  private final Replica replica;
  private final BooleanSupplier isAuthoritative;

  AuthorityFilter(Replica replica, BooleanSupplier isAuthoritative) {
    this.replica = replica;
    this.isAuthoritative = isAuthoritative;
  }

  /** May this leader send any command now? */
  boolean isAuthoritative() {
    return isAuthoritative.getAsBoolean();
  }

  /**
   * The response with nothing but stops of cancelled jobs: a recorded cancellation is final,
   * whoever leads. Without them, a leader that lost the state service before it had stopped a
   * cancelled job's tasks would keep their worker leases alive beyond the time promised for a
   * cancellation.
   */
  HeartbeatHandler.Response finalStopsOnly(HeartbeatHandler.Response response) {
    return new HeartbeatHandler.Response(
        response.fencingToken(), response.commands().stream().filter(this::isFinalStop).toList());
  }

  private boolean isFinalStop(WorkerCommand command) {
    return command instanceof WorkerCommand.Stop
        && replica.get(Keys.cancellation(command.uid())).isPresent();
  }
}
