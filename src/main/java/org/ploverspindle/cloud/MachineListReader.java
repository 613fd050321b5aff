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
  private static final long BUDGET_RETRY_MS = 100;

  /** Delay before a page is requested again that got no usable response. */
  private static final long PAGE_RETRY_MS = 600;

  /**
   * How often one page is requested again. If it still fails, the reading ends, and a later period
   * begins a new one.
   */
  private static final int MAX_PAGE_RETRIES = 4;

  private static final double MS_PER_S = 1_000;

  /** Receives the end of each complete reading. */
  interface Listener {
    /**
     * A complete list has been applied to the registry.
     *
     * @param firstOfTerm whether it is the first one in this term
     */
    void onListRead(boolean firstOfTerm);
  }

  /** One reading of the whole list. */
  private static final class Reading {
    private final ListedMachines.MachineList list;
    private String lastHost = "";
    private int pages;
    private int retries;

    Reading(ListedMachines.MachineList list) {
      this.list = list;
    }
  }

  private final Scheduler scheduler;
  private final CloudClient cloud;
  private final CloudCallBudget callBudget;
  private final ListedMachines listed;
  private final Listener listener;
  private final long periodMs;
  private final double pagesPerS;
  private boolean isReading;
  private boolean isListRead;

  /**
   * When the next reading may begin at the earliest, in milliseconds on the steady clock. The first
   * one may begin immediately.
   */
  private long nextReadingNotBeforeMs = Long.MIN_VALUE;

  /**
   * @param callBudget the budget of calls to the cloud, shared with scale-out and scale-in
   * @param listLagS the configured list lag, in seconds
   */
  MachineListReader(
      Scheduler scheduler,
      CloudClient cloud,
      CloudCallBudget callBudget,
      ListedMachines listed,
      double listLagS,
      Listener listener) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.callBudget = callBudget;
    this.listed = listed;
    this.listener = listener;
    this.periodMs = Math.max(MIN_PERIOD_MS, Math.round(listLagS * PERIOD_MS_PER_LAG_S));
    this.pagesPerS = callBudget.callsPerS() * CALL_SHARE;
  }

  /** Begins a reading immediately and then periodically, until the result is cancelled. */
  Cancellable start() {
    Cancellable periodic = scheduler.scheduleWithFixedDelay(periodMs, this::beginReading);
    beginReading();
    return periodic;
  }

  /** Whether a complete list has been read in this term. */
  boolean hasReadList() {
    return isListRead;
  }

  private void beginReading() {
    if (!isReading
        && callBudget.isAuthoritative()
        && scheduler.nowMs() >= nextReadingNotBeforeMs
        && callBudget.hasAvailable(1 + RESERVED_CALLS)
        && callBudget.tryTake()) {
      isReading = true;
      requestPage(new Reading(new ListedMachines.MachineList(scheduler.nowMs())));
    }
  }

  private void requestPage(Reading reading) {
    cloud.listMachines(
        reading.lastHost,
        response ->
            response.ifPresentOrElse(page -> onPage(reading, page), () -> onPageFailed(reading)));
  }

  private void onPage(Reading reading, CloudClient.MachinePage page) {
    reading.pages++;
    reading.retries = 0;
    for (CloudClient.CloudMachine listedMachine : page.machines()) {
      reading.lastHost = listedMachine.id();
      listed.apply(reading.list, listedMachine);
    }
    if (page.hasNext() && !page.machines().isEmpty()) {
      requestNextPage(reading);
    } else {
      completeReading(reading);
    }
  }

  /**
   * Requests the next page as soon as the budget allows it. Without the wait, a list of many pages
   * would use up the cloud's rate limit. The reading ends if this leader's lease is not certainly
   * valid now.
   */
  private void requestNextPage(Reading reading) {
    if (!callBudget.isAuthoritative()) {
      isReading = false;
    } else if (callBudget.tryTake()) {
      requestPage(reading);
    } else {
      scheduler.schedule(BUDGET_RETRY_MS, () -> requestNextPage(reading));
    }
  }

  /**
   * Handles a page without a usable response. Pages after the first one are requested again: if the
   * reading of a long list started over after each lost response, it might never complete, and
   * nothing is provisioned before the first reading of a term is complete.
   */
  private void onPageFailed(Reading reading) {
    if (reading.pages == 0 || ++reading.retries > MAX_PAGE_RETRIES) {
      isReading = false;
    } else {
      scheduler.schedule(PAGE_RETRY_MS, () -> requestNextPage(reading));
    }
  }

  private void completeReading(Reading reading) {
    isReading = false;
    nextReadingNotBeforeMs =
        reading.list.requestedMs() + Math.round(reading.pages / pagesPerS * MS_PER_S);
    listed.handleCompleteList(reading.list);
    boolean firstOfTerm = !isListRead;
    isListRead = true;
    listener.onListRead(firstOfTerm);
  }
}
