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
   * @param ended machines that were there and are gone now
   * @param withTasks those of them that had tasks
   */
  record Release(long atMs, String by, boolean stale, List<String> ended, List<String> withTasks) {}

  private final SimClock clock;
  private final Supplier<String> leader;
  private final List<Release> releases = new ArrayList<>();
  private Consumer<Release> executed = release -> {};

  TerminationHistory(SimClock clock, Supplier<String> leader) {
    this.clock = clock;
    this.leader = leader;
  }

  void whenExecuted(Consumer<Release> then) {
    executed = then;
  }

  void add(String by, List<String> ended, List<String> withTasks) {
    Release release =
        new Release(clock.nowMs(), by, !by.equals(leader.get()), ended, List.copyOf(withTasks));
    releases.add(release);
    executed.accept(release);
  }

  /** Requests that ended a machine on which there were tasks. */
  List<Release> withTasks() {
    return releases.stream().filter(release -> !release.withTasks().isEmpty()).toList();
  }

  /** Requests of controllers that did not lead any more. */
  List<Release> stale() {
    return releases.stream().filter(Release::stale).toList();
  }

  int count() {
    return releases.size();
  }

  /** Machines that went back. */
  int ended() {
    return releases.stream().mapToInt(release -> release.ended().size()).sum();
  }
}
