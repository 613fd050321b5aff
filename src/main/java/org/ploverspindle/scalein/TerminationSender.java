package org.ploverspindle.scalein;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.RetryDelay;
import org.ploverspindle.eventloop.Scheduler;

/**
 * Sends termination requests to the cloud within the call budget. Requests without a confirmation
 * may be repeated after a delay.
 */
public final class TerminationSender {
  /**
   * Stands for the time at which a machine may be named again while a request that names it is in
   * flight.
   */
  private static final long IN_FLIGHT_MS = Long.MAX_VALUE;

  private final Scheduler scheduler;
  private final TerminationClient cloud;
  private final BooleanSupplier tryTakeCall;
  private final RetryDelay retryDelay;

  /**
   * When a machine that a request has named may be named again, in milliseconds on the steady
   * clock, by the machine's name. Machines whose termination was confirmed are removed.
   */
  private final Map<String, Long> nextSendMs = new HashMap<>();

  /**
   * @param tryTakeCall takes a call to the cloud from the budget and returns true; returns false if
   *     the budget is used up or this leader's lease is not certainly valid. It is the last check
   *     before each request
   * @param retryDelay the delay before a request without a confirmation is repeated
   */
  public TerminationSender(
      Scheduler scheduler,
      TerminationClient cloud,
      BooleanSupplier tryTakeCall,
      RetryDelay retryDelay) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.tryTakeCall = tryTakeCall;
    this.retryDelay = retryDelay;
  }

  /** Whether no request that names the machine is in flight, and its retry delay has passed. */
  boolean maySend(String host) {
    return scheduler.nowMs() >= nextSendMs.getOrDefault(host, Long.MIN_VALUE);
  }

  /** Whether a request has named the machine and has not been confirmed. */
  boolean wasSent(String host) {
    return nextSendMs.containsKey(host);
  }

  /**
   * Sends one request, if this leader's lease is certainly valid and the call budget allows it.
   *
   * @param hosts the names of the machines, at most {@link
   *     TerminationClient#MAX_MACHINES_PER_REQUEST}
   * @param onConfirmed called with the names when the cloud has confirmed that the machines are
   *     gone
   * @return whether the request was sent
   */
  boolean send(List<String> hosts, Consumer<List<String>> onConfirmed) {
    if (!tryTakeCall.getAsBoolean()) {
      return false;
    }
    hosts.forEach(host -> nextSendMs.put(host, IN_FLIGHT_MS));
    cloud.terminate(hosts, isConfirmed -> onResponse(hosts, isConfirmed, onConfirmed));
    return true;
  }

  private void onResponse(
      List<String> hosts, boolean isConfirmed, Consumer<List<String>> onConfirmed) {
    if (isConfirmed) {
      hosts.forEach(nextSendMs::remove);
      onConfirmed.accept(hosts);
      return;
    }
    long retryAtMs = scheduler.nowMs() + retryDelay.nextMs();
    hosts.forEach(host -> nextSendMs.put(host, retryAtMs));
  }
}
