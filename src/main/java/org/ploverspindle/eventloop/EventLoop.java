package org.ploverspindle.eventloop;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The scheduler of a running controller: one thread that runs heartbeats first, then due timers,
 * then the other work in the order of its priority.
 *
 * <p>If work throws a runtime exception, the exception is logged and the loop continues. An error,
 * such as one for a full heap, ends the loop, since the state of the work that it interrupted can't
 * be trusted. Work that is still waiting when the loop is closed is not run.
 */
public final class EventLoop implements Scheduler, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
  private static final long NANOS_PER_MS = 1_000_000;

  /**
   * @param dueMs the time from which the work may run, on the monotonic clock
   * @param sequence the order of scheduling: of two timers that are due at the same time, the one
   *     that was scheduled first runs first
   */
  private record Timer(long dueMs, long sequence, Runnable work) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      return dueMs != other.dueMs
          ? Long.compare(dueMs, other.dueMs)
          : Long.compare(sequence, other.sequence);
    }
  }

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition stateChanged = lock.newCondition();
  private final Map<EventPriority, Queue<Runnable>> queues = new EnumMap<>(EventPriority.class);
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final Thread thread;
  private final Consumer<Error> errorHandler;
  private long nextTimerSequence;
  private boolean closed;
  private boolean threadWaiting;

  /** Creates a loop that leaves an error to the thread's handler of uncaught exceptions. */
  public EventLoop() {
    this(
        error -> {
          throw error;
        });
  }

  /**
   * @param errorHandler called on the loop's thread when an error has ended the loop. Since nothing
   *     runs on the loop any more, it should end the process.
   */
  public EventLoop(Consumer<Error> errorHandler) {
    this.errorHandler = errorHandler;
    for (EventPriority priority : EventPriority.values()) {
      queues.put(priority, new ArrayDeque<>());
    }
    thread = new Thread(this::runUntilClosed, "decisions");
  }

  /** Starts the thread of the event loop. */
  public void start() {
    thread.start();
  }

  @Override
  public long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  @Override
  public long wallMs() {
    return System.currentTimeMillis();
  }

  /**
   * Returns how many pieces of work of this priority are waiting. The user API rejects requests
   * when it is too high. May be called on any thread.
   */
  public int backlog(EventPriority priority) {
    lock.lock();
    try {
      return queues.get(priority).size();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public void execute(EventPriority priority, Runnable work) {
    lock.lock();
    try {
      queues.get(priority).add(work);
      wakeUp();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Cancellable schedule(long delayMs, Runnable work) {
    lock.lock();
    try {
      Timer timer = new Timer(nowMs() + Math.max(0, delayMs), nextTimerSequence++, work);
      timers.add(timer);
      wakeUp();
      return () -> remove(timer);
    } finally {
      lock.unlock();
    }
  }

  private void remove(Timer timer) {
    lock.lock();
    try {
      timers.remove(timer);
    } finally {
      lock.unlock();
    }
  }

  private void wakeUp() {
    if (threadWaiting) {
      stateChanged.signal();
    }
  }

  private void runUntilClosed() {
    try {
      run();
    } catch (Error e) {
      errorHandler.accept(e);
    }
  }

  private void run() {
    for (Runnable work = awaitNext(); work != null; work = awaitNext()) {
      try {
        work.run();
      } catch (RuntimeException e) {
        LOG.error("work failed on the event loop", e);
      }
    }
  }

  /**
   * Waits for the next work to run and returns it, or null once the loop is closed or its thread is
   * interrupted.
   */
  private Runnable awaitNext() {
    lock.lock();
    try {
      while (!closed) {
        Runnable next = pollNext();
        if (next != null) {
          return next;
        }
        awaitChange();
      }
      return null;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    } finally {
      lock.unlock();
    }
  }

  /** Waits until work or a timer is added, a timer is due or the loop is closed. */
  private void awaitChange() throws InterruptedException {
    threadWaiting = true;
    try {
      Timer first = timers.peek();
      if (first == null) {
        stateChanged.await();
      } else {
        stateChanged.await(Math.max(1, first.dueMs() - nowMs()), TimeUnit.MILLISECONDS);
      }
    } finally {
      threadWaiting = false;
    }
  }

  /** Removes and returns the work that runs next, or returns null if none can run now. */
  private Runnable pollNext() {
    Runnable heartbeat = queues.get(EventPriority.HEARTBEAT).poll();
    if (heartbeat != null) {
      return heartbeat;
    }
    Timer first = timers.peek();
    if (first != null && first.dueMs() <= nowMs()) {
      return timers.poll().work();
    }
    Runnable decision = queues.get(EventPriority.DECISION).poll();
    if (decision != null) {
      return decision;
    }
    Runnable submission = queues.get(EventPriority.SUBMISSION).poll();
    return submission != null ? submission : queues.get(EventPriority.QUERY).poll();
  }

  /** Makes the thread end after the work that is running, without waiting for it. */
  @Override
  public void close() {
    lock.lock();
    try {
      closed = true;
      stateChanged.signal();
    } finally {
      lock.unlock();
    }
  }
}
