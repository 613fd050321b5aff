package org.ploverspindle.scalein;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.RetryDelay;
import org.ploverspindle.eventloop.Scheduler;

/**
 * Sends releases within the budget of calls, and spaces repeats of those that were not answered.
 */
public final class TerminationSender {
  private static final long IN_FLIGHT_MS = Long.MAX_VALUE;

  private final Scheduler scheduler;
  private final TerminationClient cloud;
  private final BooleanSupplier takeCallBudget;
  private final RetryDelay retryDelay;

  /** When each machine that was asked for may be asked for again, on the steady clock. */
  private final Map<String, Long> notBeforeMs = new HashMap<>();

  /**
   * @param takeCallBudget takes a call to the cloud from its budget, if the lead is sure; asked
   *     last before each send
   * @param retryDelay before a release without an answer is sent again
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

  /** True when no request for the machine is out and its last one was long enough ago. */
  boolean maySend(String host) {
    return scheduler.nowMs() >= notBeforeMs.getOrDefault(host, Long.MIN_VALUE);
  }

  /** True when the machine was asked for before, and that was not answered. */
  boolean wasSent(String host) {
    return notBeforeMs.containsKey(host);
  }

  /**
   * Sends one request, if the lead is sure and the budget allows it.
   *
   * @param hosts at most {@link TerminationClient#MAX_HOSTS_PER_RELEASE}
   * @param confirmed called when the cloud confirmed that they are gone
   * @return whether it was sent
   */
  boolean send(List<String> hosts, Consumer<List<String>> confirmed) {
    if (!takeCallBudget.getAsBoolean()) {
      return false;
    }
    hosts.forEach(host -> notBeforeMs.put(host, IN_FLIGHT_MS));
    cloud.terminate(hosts, gone -> answered(hosts, gone, confirmed));
    return true;
  }

  private void answered(List<String> hosts, boolean gone, Consumer<List<String>> confirmed) {
    if (gone) {
      hosts.forEach(notBeforeMs::remove);
      confirmed.accept(hosts);
      return;
    }
    long retryMs = scheduler.nowMs() + retryDelay.nextMs();
    hosts.forEach(host -> notBeforeMs.put(host, retryMs));
  }
}
