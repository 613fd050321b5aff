package org.ploverspindle.leadership;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.WorkerClient;
import org.ploverspindle.cluster.WorkerCommand;
import org.ploverspindle.leases.FencingRejections;
import org.ploverspindle.model.Term;

/**
 * Sends the direct commands of one term, and counts those that a worker refused because it had
 * received a fencing token of a later term.
 */
final class FencedWorkerClient implements WorkerClient {
  private final WorkerClient workers;
  private final Term term;
  private final FencingRejections rejections;

  FencedWorkerClient(WorkerClient workers, Term term, FencingRejections rejections) {
    this.workers = workers;
    this.term = term;
    this.rejections = rejections;
  }

  @Override
  public void send(
      String address,
      long fencingToken,
      long workerEpoch,
      List<WorkerCommand> commands,
      Consumer<Optional<Heartbeat>> callback) {
    workers.send(
        address,
        fencingToken,
        workerEpoch,
        commands,
        heartbeat -> {
          if (heartbeat.isPresent() && term.isDeposedBy(heartbeat.get().fencingToken())) {
            rejections.add(FencingRejections.Kind.WORKER_COMMAND);
          }
          callback.accept(heartbeat);
        });
  }
}
