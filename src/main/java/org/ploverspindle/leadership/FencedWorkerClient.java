package org.ploverspindle.leadership;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.WorkerClient;
import org.ploverspindle.cluster.WorkerCommand;
import org.ploverspindle.leases.FencingRejections;
import org.ploverspindle.model.Term;

/** Direct commands of one term: counts those that a worker refused for a later term's token. */
final class FencedWorkerClient implements WorkerClient {
  private final WorkerClient workers;
  private final Term term;
  private final FencingRejections refused;

  FencedWorkerClient(WorkerClient workers, Term term, FencingRejections refused) {
    this.workers = workers;
    this.term = term;
    this.refused = refused;
  }

  @Override
  public void send(
      String address,
      long token,
      long tenure,
      List<WorkerCommand> orders,
      Consumer<Optional<Heartbeat>> then) {
    workers.send(
        address,
        token,
        tenure,
        orders,
        answer -> {
          if (answer.isPresent() && term.isBefore(answer.get().fencingToken())) {
            refused.add(FencingRejections.Kind.WORKER_COMMAND);
          }
          then.accept(answer);
        });
  }
}
