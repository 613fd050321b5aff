package org.ploverspindle.eventloop;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The scheduler of a running service: one thread that takes reports first, then due timers, then
 * the other ranks of work in their order.
 */
public final class EventLoop implements Scheduler, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
  private static final long NANOS_PER_MS = 1_000_000;

  private record Timer(long dueMs, long order, Runnable work) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      return dueMs != other.dueMs
          ? Long.compare(dueMs, other.dueMs)
          : Long.compare(order, other.order);
    }
  }

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition wake = lock.newCondition();
  private final Map<EventPriority, Queue<Runnable>> queues = new EnumMap<>(EventPriority.class);
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final Thread thread;
  private long order;
  private boolean closed;
  private boolean waiting;

  public EventLoop() {
    for (EventPriority rank : EventPriority.values()) {
      queues.put(rank, new ArrayDeque<>());
    }
    thread = new Thread(this::run, "decisions");
  }

  /** Starts the thread. */
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

  /** How many units of work of this rank are waiting. The user API refuses submissions by it. */
  public int backlog(EventPriority rank) {
    lock.lock();
    try {
      return queues.get(rank).size();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public void execute(EventPriority rank, Runnable work) {
    lock.lock();
    try {
      queues.get(rank).add(work);
      wakeUp();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Cancellable schedule(long delayMs, Runnable work) {
    lock.lock();
    try {
      Timer timer = new Timer(nowMs() + Math.max(0, delayMs), order++, work);
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
    if (waiting) {
      wake.signal();
    }
  }

  private void run() {
    while (true) {
      Runnable next = take();
      if (next == null) {
        return;
      }
      try {
        next.run();
      } catch (RuntimeException e) {
        LOG.error("work failed on the decision loop", e);
      }
    }
  }

  private Runnable take() {
    lock.lock();
    try {
      while (!closed) {
        Runnable next = poll();
        if (next != null) {
          return next;
        }
        waiting = true;
        try {
          Timer first = timers.peek();
          if (first == null) {
            wake.await();
          } else {
            wake.await(Math.max(1, first.dueMs() - nowMs()), TimeUnit.MILLISECONDS);
          }
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return null;
        } finally {
          waiting = false;
        }
      }
      return null;
    } finally {
      lock.unlock();
    }
  }

  private Runnable poll() {
    Runnable report = queues.get(EventPriority.HEARTBEAT).poll();
    if (report != null) {
      return report;
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

  @Override
  public void close() {
    lock.lock();
    try {
      closed = true;
      wake.signal();
    } finally {
      lock.unlock();
    }
  }
}
