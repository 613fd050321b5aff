package org.ploverspindle.scalein;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.RetryDelay;
import org.ploverspindle.eventloop.Scheduler;

/**
 * Sends terminations to the cloud within the call budget, and spaces repeats of unanswered ones.
 */
public final class TerminationSender {
  /** In place of the time from which on a request may be repeated: one is in flight. */
  private static final long IN_FLIGHT_MS = Long.MAX_VALUE;

  private final Scheduler scheduler;
  private final TerminationClient cloud;
  private final BooleanSupplier takeCallBudget;
  private final RetryDelay retryDelay;

  /** By host that a request named, when it may be named again, on the steady clock. */
  private final Map<String, Long> notBeforeMs = new HashMap<>();

  /**
   * @param takeCallBudget takes one call from the budget for the cloud and returns true; false if
   *     the budget is used up or the leader's lease is not certainly valid. Called last before each
   *     request
   * @param retryDelay the delay before an unanswered request is repeated
   */
  public TerminationSender(
      Scheduler scheduler,
      TerminationClient cloud,
      BooleanSupplier takeCallBudget,
      RetryDelay retryDelay) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.takeCallBudget = takeCallBudget;
    this.retryDelay = retryDelay;
  }

  /** Whether no request for the machine is in flight, and its retry delay has passed. */
  boolean maySend(String host) {
    return scheduler.nowMs() >= notBeforeMs.getOrDefault(host, Long.MIN_VALUE);
  }

  /** Whether a request has named the machine and was not confirmed. */
  boolean wasSent(String host) {
    return notBeforeMs.containsKey(host);
  }

  /**
   * Sends one request, if the leader is authoritative and the budget allows it.
   *
   * @param hosts at most {@link TerminationClient#MAX_HOSTS_PER_RELEASE}
   * @param confirmed called with the hosts when the cloud confirmed that they are gone
   * @return whether it was sent
   */
  boolean send(List<String> hosts, Consumer<List<String>> confirmed) {
    if (!takeCallBudget.getAsBoolean()) {
      return false;
    }
    hosts.forEach(host -> notBeforeMs.put(host, IN_FLIGHT_MS));
    cloud.terminate(hosts, gone -> onResponse(hosts, gone, confirmed));
    return true;
  }

  private void onResponse(List<String> hosts, boolean gone, Consumer<List<String>> confirmed) {
    if (gone) {
      hosts.forEach(notBeforeMs::remove);
      confirmed.accept(hosts);
      return;
    }
    long retryAtMs = scheduler.nowMs() + retryDelay.nextMs();
    hosts.forEach(host -> notBeforeMs.put(host, retryAtMs));
  }
}
