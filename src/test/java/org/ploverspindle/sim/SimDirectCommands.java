package org.ploverspindle.sim;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.WorkerClient;
import org.ploverspindle.cluster.WorkerCommand;

/** Direct commands: executed once, late, twice, or never, as the network has it. */
final class SimDirectCommands {
  private static final long TIMEOUT_MS = 1_500;

  /** One command in so many is carried out again, much later. */
  private static final int REPEATED_ONE_IN = 6;

  private static final int REPEATED_LEAST_MS = 500;
  private static final int REPEATED_SPREAD_MS = 40_000;

  private final SimClock clock;
  private final Random random;
  private final SimNetwork network;
  private final SimCloud cloud;
  private int late;
  private int toMute;

  SimDirectCommands(SimClock clock, Random random, SimNetwork network, SimCloud cloud) {
    this.clock = clock;
    this.random = random;
    this.network = network;
    this.cloud = cloud;
  }

  /** How many commands reached their machine after their sender had given up. */
  int late() {
    return late;
  }

  /** How many commands reached machines that reach no controller. */
  int toMute() {
    return toMute;
  }

  WorkerClient client(SimLink link) {
    return (address, token, tenure, orders, then) ->
        send(link, address, new Command(token, tenure, orders, clock.nowMs()), then);
  }

  private record Command(long token, long tenure, List<WorkerCommand> orders, long orderedMs) {}

  private void send(
      SimLink link, String address, Command command, Consumer<Optional<Heartbeat>> then) {
    long heldMs = network.commandHeldMs();
    Optional<SimWorker> found =
        cloud.workers().stream().filter(w -> w.address().equals(address)).findFirst();
    if (found.isEmpty()) {
      link.process().schedule(TIMEOUT_MS, () -> then.accept(Optional.empty()));
      return;
    }
    SimWorker worker = found.get();
    link.request(
        worker.host(),
        TIMEOUT_MS,
        reply -> clock.at(heldMs, () -> execute(worker, command, reply)),
        Optional.<Heartbeat>empty(),
        then);
    if (random.nextInt(REPEATED_ONE_IN) == 0) {
      repeat(worker, command);
    }
  }

  /** A copy of what was carried out comes late. */
  private void repeat(SimWorker worker, Command command) {
    clock.at(
        REPEATED_LEAST_MS + random.nextInt(REPEATED_SPREAD_MS),
        () -> {
          if (network.hears(worker.host())) {
            worker.direct(
                command.token(), command.tenure(), command.orders(), command.orderedMs(), r -> {});
          }
        });
  }

  private void execute(SimWorker worker, Command command, Consumer<Optional<Heartbeat>> then) {
    worker.direct(
        command.token(),
        command.tenure(),
        command.orders(),
        command.orderedMs(),
        report -> {
          boolean orders = !command.orders().isEmpty();
          late += orders && clock.nowMs() - command.orderedMs() > TIMEOUT_MS ? 1 : 0;
          toMute += !orders || network.speaks(worker.host()) ? 0 : 1;
          then.accept(Optional.of(report));
        });
  }
}
