package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The cloud's side of returns: who asked for what, whether it led then, and what was lost. */
final class TerminationHistory {
  /**
   * A request that was executed.
   *
   * @param stale whoever asked did not hold the lead at that moment
   * @param terminated machines that were there and are gone now
   * @param withTasks those of them that had tasks
   */
  record TerminationRequest(
      long atMs,
      String controller,
      boolean stale,
      List<String> terminated,
      List<String> withTasks) {}

  private final SimClock clock;
  private final Supplier<String> leader;
  private final List<TerminationRequest> requests = new ArrayList<>();
  private Consumer<TerminationRequest> executionListener = request -> {};

  TerminationHistory(SimClock clock, Supplier<String> leader) {
    this.clock = clock;
    this.leader = leader;
  }

  void onExecuted(Consumer<TerminationRequest> listener) {
    executionListener = listener;
  }

  void add(String controller, List<String> terminated, List<String> withTasks) {
    TerminationRequest request =
        new TerminationRequest(
            clock.nowMs(),
            controller,
            !controller.equals(leader.get()),
            terminated,
            List.copyOf(withTasks));
    requests.add(request);
    executionListener.accept(request);
  }

  /** Requests that terminated a machine on which there were tasks. */
  List<TerminationRequest> withTasks() {
    return requests.stream().filter(request -> !request.withTasks().isEmpty()).toList();
  }

  /** Requests of controllers that did not lead any more. */
  List<TerminationRequest> stale() {
    return requests.stream().filter(TerminationRequest::stale).toList();
  }

  int count() {
    return requests.size();
  }

  /** Machines that went back. */
  int terminatedMachineCount() {
    return requests.stream().mapToInt(request -> request.terminated().size()).sum();
  }
}
