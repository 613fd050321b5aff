package org.ploverspindle.sim;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.WorkerClient;
import org.ploverspindle.cluster.WorkerCommand;

/** Delivers direct commands over the simulated network: once, late, twice or never. */
final class SimDirectCommands {
  private static final long TIMEOUT_MS = 1_500;

  /** One message in this many is delivered a second time, 0.5 s to 40.5 s later. */
  private static final int DUPLICATED_ONE_IN = 6;

  private static final int MIN_DUPLICATE_DELAY_MS = 500;
  private static final int DUPLICATE_DELAY_RANGE_MS = 40_000;

  private final SimClock clock;
  private final Random random;
  private final SimNetwork network;
  private final SimCloud cloud;
  private int executedAfterTimeout;
  private int executedWithRequestsDropped;

  SimDirectCommands(SimClock clock, Random random, SimNetwork network, SimCloud cloud) {
    this.clock = clock;
    this.random = random;
    this.network = network;
    this.cloud = cloud;
  }

  /** Number of messages with commands that reached their worker after the sender's timeout. */
  int executedAfterTimeout() {
    return executedAfterTimeout;
  }

  /** Number of messages with commands that reached workers whose own requests are dropped. */
  int executedWithRequestsDropped() {
    return executedWithRequestsDropped;
  }

  WorkerClient client(SimLink link) {
    return (address, fencingToken, workerEpoch, commands, then) ->
        send(
            link,
            address,
            new CommandMessage(fencingToken, workerEpoch, commands, clock.nowMs()),
            then);
  }

  private record CommandMessage(
      long fencingToken, long workerEpoch, List<WorkerCommand> commands, long sentMs) {}

  private void send(
      SimLink link, String address, CommandMessage message, Consumer<Optional<Heartbeat>> then) {
    long delayMs = network.drawCommandDelayMs();
    Optional<SimWorker> addressee =
        cloud.workers().stream()
            .filter(candidate -> candidate.address().equals(address))
            .findFirst();
    if (addressee.isEmpty()) {
      link.process().schedule(TIMEOUT_MS, () -> then.accept(Optional.empty()));
      return;
    }
    SimWorker worker = addressee.get();
    link.request(
        worker.host(),
        TIMEOUT_MS,
        reply -> clock.after(delayMs, () -> execute(worker, message, reply)),
        Optional.<Heartbeat>empty(),
        then);
    if (random.nextInt(DUPLICATED_ONE_IN) == 0) {
      deliverDuplicate(worker, message);
    }
  }

  /** Delivers the message a second time; the worker's response to it is ignored. */
  private void deliverDuplicate(SimWorker worker, CommandMessage message) {
    clock.after(
        MIN_DUPLICATE_DELAY_MS + random.nextInt(DUPLICATE_DELAY_RANGE_MS),
        () -> {
          if (network.receives(worker.host())) {
            worker.executeDirect(
                message.fencingToken(),
                message.workerEpoch(),
                message.commands(),
                message.sentMs(),
                response -> {});
          }
        });
  }

  private void execute(
      SimWorker worker, CommandMessage message, Consumer<Optional<Heartbeat>> then) {
    worker.executeDirect(
        message.fencingToken(),
        message.workerEpoch(),
        message.commands(),
        message.sentMs(),
        heartbeat -> {
          boolean hasCommands = !message.commands().isEmpty();
          executedAfterTimeout +=
              hasCommands && clock.nowMs() - message.sentMs() > TIMEOUT_MS ? 1 : 0;
          executedWithRequestsDropped +=
              !hasCommands || network.sendsRequests(worker.host()) ? 0 : 1;
          then.accept(Optional.of(heartbeat));
        });
  }
}
