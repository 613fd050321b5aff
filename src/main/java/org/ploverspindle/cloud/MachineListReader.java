package org.ploverspindle.cloud;

import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.Scheduler;

/**
 * Reads the cloud's list of machines periodically, page by page. Scale-out and scale-in have
 * precedence: the more pages the list has, the longer is the period, so that reading them takes at
 * most a fixed share of the calls to the cloud.
 */
final class MachineListReader {
  private static final long MIN_PERIOD_MS = 2_500;

  /**
   * The period of the readings, in milliseconds per second of the configured list lag: the list is
   * read about twice within that lag.
   */
  private static final double PERIOD_MS_PER_LAG_S = 500;

  /** Share of the budget of calls to the cloud that pages may take on average. */
  private static final double CALL_SHARE = 0.4;

  /** Number of calls that must be left for scale-out and scale-in when a reading begins. */
  private static final int RESERVED_CALLS = 1;

  /** Delay before a page is tried again after the call budget was used up. */
  private static final long BUDGET_PAUSE_MS = 100;

  /** Delay before a page is requested again that got no usable response. */
  private static final long RETRY_MS = 600;

  /**
   * How often one page is requested again. If it still fails, the reading ends, and a later period
   * begins a new one.
   */
  private static final int MAX_RETRIES = 4;

  private static final double MS_PER_S = 1_000;

  /** Receives the end of each complete reading. */
  interface Listener {
    /**
     * A complete list has been applied to the registry.
     *
     * @param firstOfTerm whether it is the first one in this term
     */
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

  /**
   * When the next reading may begin at the earliest, in milliseconds on the steady clock. The first
   * one may begin immediately.
   */
  private long notBeforeMs = Long.MIN_VALUE;

  /**
   * @param calls the budget of calls to the cloud, shared with scale-out and scale-in
   * @param lagS the configured list lag, in seconds
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

  /** Begins a reading immediately and then periodically, until the result is cancelled. */
  Cancellable start() {
    Cancellable periodic = scheduler.scheduleWithFixedDelay(periodMs, this::begin);
    begin();
    return periodic;
  }

  /** Whether a complete list has been read in this term. */
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

  /**
   * Requests the next page as soon as the budget allows it. Without the wait, a list of many pages
   * would use up the cloud's rate limit. The reading ends when this leader's lease is not certainly
   * valid.
   */
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
   * Handles a page without a usable response. Pages after the first one are requested again: if the
   * reading of a long list started over after each lost response, it might never complete, and
   * nothing is provisioned before the first reading of a term is complete.
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
