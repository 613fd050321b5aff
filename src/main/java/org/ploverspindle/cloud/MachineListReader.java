package org.ploverspindle.cloud;

import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.Scheduler;

/**
 * Reads the cloud's list of machines periodically, page by page. Scale-out and scale-in come first:
 * the larger the fleet, the longer the period, so that pages take a fixed share of the calls to the
 * cloud.
 */
final class MachineListReader {
  private static final long MIN_PERIOD_MS = 2_500;

  /** The list is read about twice within its lag. */
  private static final double PERIOD_MS_PER_LAG_S = 500;

  /** Part of the calls to the cloud that pages may take on average. */
  private static final double CALL_SHARE = 0.4;

  /** Calls that are left for scale-out and scale-in when a reading begins. */
  private static final int RESERVED_CALLS = 1;

  private static final long BUDGET_PAUSE_MS = 100;
  private static final long RETRY_MS = 600;

  /** A page that failed more often in a row ends the reading; the next period begins a new one. */
  private static final int MAX_RETRIES = 4;

  private static final double MS_PER_S = 1_000;

  /** Called at the end of each complete reading. */
  interface Listener {
    /** The registry reflects a complete list. */
    void complete(boolean firstOfTerm);
  }

  /** One reading of the whole list. */
  private static final class Reading {
    private final ListedMachines.Snapshot snapshot;
    private String lastHost = "";
    private int pages;
    private int retries;

    Reading(ListedMachines.Snapshot snapshot) {
      this.snapshot = snapshot;
    }
  }

  private final Scheduler scheduler;
  private final CloudClient cloud;
  private final CloudCallBudget calls;
  private final ListedMachines listed;
  private final Listener listener;
  private final long periodMs;
  private final double pagesPerS;
  private boolean reading;
  private boolean readOnce;

  /** The earliest time of the next reading; the first may begin at once. */
  private long notBeforeMs = Long.MIN_VALUE;

  /**
   * @param calls shared with scale-out and scale-in
   * @param lagS by how long the cloud's list may lag behind, in seconds
   */
  MachineListReader(
      Scheduler scheduler,
      CloudClient cloud,
      CloudCallBudget calls,
      ListedMachines listed,
      double lagS,
      Listener listener) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.calls = calls;
    this.listed = listed;
    this.listener = listener;
    this.periodMs = Math.max(MIN_PERIOD_MS, Math.round(lagS * PERIOD_MS_PER_LAG_S));
    this.pagesPerS = calls.callsPerS() * CALL_SHARE;
  }

  /** Reads the list now and then periodically until cancelled. */
  Cancellable start() {
    Cancellable periodic = scheduler.scheduleWithFixedDelay(periodMs, this::begin);
    begin();
    return periodic;
  }

  /** True once the whole list was read in this term. */
  boolean wasRead() {
    return readOnce;
  }

  private void begin() {
    if (!reading
        && calls.isAuthoritative()
        && scheduler.nowMs() >= notBeforeMs
        && calls.isAvailable(1 + RESERVED_CALLS)
        && calls.tryTake()) {
      reading = true;
      request(new Reading(new ListedMachines.Snapshot(scheduler.nowMs())));
    }
  }

  private void request(Reading current) {
    cloud.listMachines(
        current.lastHost,
        response ->
            response.ifPresentOrElse(page -> received(current, page), () -> failed(current)));
  }

  private void received(Reading current, CloudClient.HostPage page) {
    current.pages++;
    current.retries = 0;
    for (CloudClient.Host host : page.hosts()) {
      current.lastHost = host.id();
      listed.add(current.snapshot, host);
    }
    if (page.hasNext() && !page.hosts().isEmpty()) {
      requestNext(current);
    } else {
      complete(current);
    }
  }

  /** Pages wait for the budget: a list of many would otherwise use up the cloud's rate limit. */
  private void requestNext(Reading current) {
    if (!calls.isAuthoritative()) {
      reading = false;
    } else if (calls.tryTake()) {
      request(current);
    } else {
      scheduler.schedule(BUDGET_PAUSE_MS, () -> requestNext(current));
    }
  }

  /**
   * A page after the first is requested again. A reading of many pages that began anew with each
   * lost response might never complete, and nothing is provisioned before the first one has.
   */
  private void failed(Reading current) {
    if (current.pages == 0 || ++current.retries > MAX_RETRIES) {
      reading = false;
    } else {
      scheduler.schedule(RETRY_MS, () -> requestNext(current));
    }
  }

  private void complete(Reading current) {
    reading = false;
    notBeforeMs = current.snapshot.requestedMs() + Math.round(current.pages / pagesPerS * MS_PER_S);
    listed.complete(current.snapshot);
    boolean firstOfTerm = !readOnce;
    readOnce = true;
    listener.complete(firstOfTerm);
  }
}
