package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The termination requests that the cloud executed: which controller sent each, whether it led at
 * that moment, and which machines were terminated.
 */
final class TerminationHistory {
  /**
   * An executed termination request.
   *
   * @param controller the controller that sent the request
   * @param stale whether that controller was not the leader when the request was executed
   * @param terminated the machines that the request terminated
   * @param withTasks those of the terminated machines that had tasks
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

  /** Returns the requests that terminated a machine with tasks. */
  List<TerminationRequest> withTasks() {
    return requests.stream().filter(request -> !request.withTasks().isEmpty()).toList();
  }

  /** Returns the requests of controllers that did not lead when they were executed. */
  List<TerminationRequest> stale() {
    return requests.stream().filter(TerminationRequest::stale).toList();
  }

  int count() {
    return requests.size();
  }

  /** Returns how many machines were terminated by request. */
  int terminatedMachineCount() {
    return requests.stream().mapToInt(request -> request.terminated().size()).sum();
  }
}
