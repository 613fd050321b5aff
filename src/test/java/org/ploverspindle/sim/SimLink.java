package org.ploverspindle.sim;

import java.util.function.Consumer;

/** One controller's way to the outside: requests over the simulated network, with timeouts. */
final class SimLink {
  private final SimClock clock;
  private final SimNetwork network;
  private final String node;
  private final SimClock.Process process;

  SimLink(SimClock clock, SimNetwork network, int node, SimClock.Process process) {
    this.clock = clock;
    this.network = network;
    this.node = nodeName(node);
    this.process = process;
  }

  static String nodeName(int node) {
    return "n" + node;
  }

  String node() {
    return node;
  }

  SimClock.Process process() {
    return process;
  }

  /** Sends a request; whatever goes wrong ends in {@code none} at the timeout. */
  <T> void request(
      String target, long timeoutMs, Consumer<Consumer<T>> execute, T none, Consumer<T> then) {
    boolean[] over = {false};
    Consumer<T> once =
        result -> {
          if (!over[0]) {
            over[0] = true;
            process.schedule(0, () -> then.accept(result));
          }
        };
    clock.at(timeoutMs, () -> once.accept(none));
    network.request(
        node,
        target,
        () -> execute.accept(result -> network.answer(target, node, () -> once.accept(result))),
        () -> {});
  }
}
