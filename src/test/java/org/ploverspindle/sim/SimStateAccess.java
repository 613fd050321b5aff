package org.ploverspindle.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ploverspindle.sim.SimulatedCluster.RequestKind;
import org.ploverspindle.state.StateStore;

/**
 * The clients by which all controllers reach the simulated state service. They refuse requests of
 * single controllers, lose responses to transactions, execute transactions late, and count these.
 */
final class SimStateAccess {
  static final String STATE = "state";

  private static final long TIMEOUT_MS = 2_500;
  private static final int MIN_LATE_WRITE_DELAY_MS = 2_000;
  private static final int LATE_WRITE_DELAY_RANGE_MS = 10_000;

  /** Page size for small deployments, so that changes also occur between pages of a short list. */
  private static final int SMALL_PAGE_SIZE = 7;

  private record RefusedRequests(RequestKind kind, int controller) {}

  private final SimClock clock;
  private final Random random;
  private final SimNetwork network;
  private final SimStateStore state;
  private final boolean smallPages;
  private final Set<RefusedRequests> refusals = new HashSet<>();
  private final Map<Integer, Long> executedWrites = new HashMap<>();
  private final Map<Integer, Long> responseDelaysMs = new HashMap<>();
  private Consumer<StateStore.Transaction> sendListener = transaction -> {};
  private int unansweredWrites;
  private int reorderedWrites;

  SimStateAccess(
      SimClock clock, Random random, SimNetwork network, SimStateStore state, boolean smallPages) {
    this.clock = clock;
    this.random = random;
    this.network = network;
    this.state = state;
    this.smallPages = smallPages;
  }

  /** From now on refuses requests of this kind from the controller, or serves them again. */
  void setRefused(int controller, RequestKind kind, boolean active) {
    if (active) {
      refusals.add(new RefusedRequests(kind, controller));
    } else {
      refusals.remove(new RefusedRequests(kind, controller));
    }
  }

  /** Sets the listener for transactions; it is called on sending, before the outcome is drawn. */
  void onTransactionSent(Consumer<StateStore.Transaction> listener) {
    sendListener = listener;
  }

  /** Number of transactions that were committed and got no response. */
  int unansweredWrites() {
    return unansweredWrites;
  }

  /** Number of unanswered transactions executed after newer ones of the same controller. */
  int reorderedWrites() {
    return reorderedWrites;
  }

  /** From now on the controller gets all responses this much later; 0: without delay. */
  void setResponseDelay(int controller, long delayMs) {
    responseDelaysMs.put(controller, delayMs);
  }

  StateStore client(int controller, SimLink link) {
    return new Client(controller, link);
  }

  private final class Client implements StateStore {
    private final int controller;
    private final SimLink link;

    Client(int controller, SimLink link) {
      this.controller = controller;
      this.link = link;
    }

    private <T> void request(
        RequestKind kind, Supplier<T> execute, T refusedResult, T timeoutResult, Consumer<T> then) {
      long responseDelayMs = responseDelaysMs.getOrDefault(controller, 0L);
      link.request(
          STATE,
          TIMEOUT_MS,
          reply -> reply.accept(admitsRequest(kind) ? execute.get() : refusedResult),
          timeoutResult,
          responseDelayMs == 0
              ? then
              : result -> link.process().schedule(responseDelayMs, () -> then.accept(result)));
    }

    private boolean admitsRequest(RequestKind kind) {
      return state.admitsRequest() && !refusals.contains(new RefusedRequests(kind, controller));
    }

    /** Executes a transaction after a delay; the sender gets no response and times out. */
    private void executeUnanswered(
        Transaction transaction, long delayMs, Consumer<TransactionResult> then) {
      long executedBefore = executedWrites.getOrDefault(controller, 0L);
      clock.after(
          delayMs,
          () -> {
            if (admitsRequest(RequestKind.WRITES)) {
              reorderedWrites +=
                  executedWrites.getOrDefault(controller, 0L) > executedBefore ? 1 : 0;
              unansweredWrites +=
                  state.commit(transaction) instanceof TransactionResult.Committed ? 1 : 0;
            }
          });
      clock.after(
          TIMEOUT_MS,
          () -> link.process().schedule(0, () -> then.accept(new TransactionResult.Unknown())));
    }

    @Override
    public void commit(Transaction transaction, Consumer<TransactionResult> then) {
      sendListener.accept(transaction);
      SimNetwork.WriteOutcome outcome = network.drawWriteOutcome();
      if (outcome != SimNetwork.WriteOutcome.ANSWERED
          && network.isConnected(link.source(), STATE)) {
        boolean isLate = outcome == SimNetwork.WriteOutcome.LATE_UNANSWERED;
        long delayMs =
            isLate ? MIN_LATE_WRITE_DELAY_MS + random.nextInt(LATE_WRITE_DELAY_RANGE_MS) : 1;
        executeUnanswered(transaction, delayMs, then);
        return;
      }
      request(
          RequestKind.WRITES,
          () -> {
            TransactionResult result = state.commit(transaction);
            if (result instanceof TransactionResult.Committed) {
              executedWrites.merge(controller, 1L, Long::sum);
            }
            return result;
          },
          new TransactionResult.Refused(503),
          new TransactionResult.Unknown(),
          then);
    }

    @Override
    public void readPage(String prefix, String after, int size, Consumer<PageResult> then) {
      PageResult failed = new PageResult.Failed();
      int pageSize = smallPages ? Math.min(size, SMALL_PAGE_SIZE) : size;
      request(
          RequestKind.READS, () -> state.readPage(prefix, after, pageSize), failed, failed, then);
    }

    @Override
    public void readChanges(String prefix, long revision, Consumer<ChangesResult> then) {
      ChangesResult failed = new ChangesResult.Failed();
      request(RequestKind.READS, () -> state.readChanges(prefix, revision), failed, failed, then);
    }

    @Override
    public void openLease(long ttlMs, Consumer<Optional<Long>> then) {
      Optional<Long> none = Optional.empty();
      request(RequestKind.LEASES, () -> Optional.of(state.openLease(ttlMs)), none, none, then);
    }

    @Override
    public void renewLease(long lease, Consumer<Renewal> then) {
      request(
          RequestKind.LEASES, () -> state.renewLease(lease), Renewal.FAILED, Renewal.FAILED, then);
    }

    @Override
    public void closeLease(long lease) {
      network.request(link.source(), STATE, () -> state.endLease(lease), () -> {});
    }
  }
}
