package org.ploverspindle.sim;

import java.util.function.Consumer;

/** Sends one controller's requests over the simulated network, with timeouts. */
final class SimLink {
  private final SimClock clock;
  private final SimNetwork network;
  private final String source;
  private final SimClock.Process process;

  SimLink(SimClock clock, SimNetwork network, int controller, SimClock.Process process) {
    this.clock = clock;
    this.network = network;
    this.source = controllerName(controller);
    this.process = process;
  }

  static String controllerName(int controller) {
    return "n" + controller;
  }

  String source() {
    return source;
  }

  SimClock.Process process() {
    return process;
  }

  /**
   * Sends a request. {@code then} receives exactly one result: the response, or {@code
   * timeoutResult} if none has arrived by the timeout.
   */
  <T> void request(
      String target,
      long timeoutMs,
      Consumer<Consumer<T>> execute,
      T timeoutResult,
      Consumer<T> then) {
    boolean[] isCompleted = {false};
    Consumer<T> completeOnce =
        result -> {
          if (!isCompleted[0]) {
            isCompleted[0] = true;
            process.schedule(0, () -> then.accept(result));
          }
        };
    clock.after(timeoutMs, () -> completeOnce.accept(timeoutResult));
    network.request(
        source,
        target,
        () ->
            execute.accept(
                result -> network.respond(target, source, () -> completeOnce.accept(result))),
        () -> {});
  }
}
