package org.ploverspindle.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

/**
 * The connections to one target, and the calls that wait for one. For use on the I/O thread alone.
 */
final class ConnectionPool {
  private static final int MAX_QUEUED = 200;

  private final XnioIoThread io;
  private final ByteBufferPool buffers;
  private final URI target;
  private final int maxConnections;
  private final boolean persistent;

  /** The most recently used last, which is the least likely to have been closed by the target. */
  private final Deque<ClientConnection> idle = new ArrayDeque<>();

  private final Deque<HttpCall> queue = new ArrayDeque<>();

  /** Connections that are open or being opened. */
  private int open;

  /**
   * @param persistent whether a connection is kept after its call
   */
  ConnectionPool(
      XnioIoThread io, ByteBufferPool buffers, URI target, int maxConnections, boolean persistent) {
    this.io = io;
    this.buffers = buffers;
    this.target = target;
    this.maxConnections = maxConnections;
    this.persistent = persistent;
  }

  /** Whether no further call may wait. */
  boolean isQueueFull() {
    return queue.size() >= MAX_QUEUED;
  }

  /** Starts the call as soon as there is a connection for it. */
  void enqueue(HttpCall call) {
    queue.add(call);
    assign();
  }

  /** The call is not started any more, if it still waits. */
  void dequeue(HttpCall call) {
    queue.remove(call);
  }

  private void assign() {
    while (!queue.isEmpty()) {
      ClientConnection connection = idle.pollLast();
      if (connection != null) {
        if (connection.isOpen()) {
          queue.poll().start(connection);
        }
        continue;
      }
      if (open >= maxConnections) {
        return;
      }
      connect(queue.poll());
    }
  }

  private void connect(HttpCall call) {
    open++;
    UndertowClient.getInstance()
        .connect(new Connecting(call), target, io, buffers, OptionMap.EMPTY);
  }

  private final class Connecting implements ClientCallback<ClientConnection> {
    private final HttpCall call;
    private boolean ended;

    Connecting(HttpCall call) {
      this.call = call;
    }

    @Override
    public void completed(ClientConnection connection) {
      ended = true;
      connection.getCloseSetter().set(closed -> handleClosed(connection));
      if (!call.isFinished()) {
        call.start(connection);
      } else if (persistent) {
        // The call timed out while connecting; the connection can serve others.
        idle.add(connection);
        assign();
      } else {
        IoUtils.safeClose(connection);
      }
    }

    @Override
    public void failed(IOException cause) {
      if (!ended) {
        ended = true;
        open--;
      }
      call.fail(cause);
    }
  }

  private void handleClosed(ClientConnection connection) {
    open--;
    idle.remove(connection);
    assign();
  }

  /**
   * A call on this connection got its response.
   *
   * @param reusable whether the target keeps the connection open
   */
  void release(ClientConnection connection, boolean reusable) {
    if (!reusable || !persistent) {
      IoUtils.safeClose(connection);
      return;
    }
    // On the next turn of the I/O thread: the exchange ends only after its listener has returned.
    io.execute(
        () -> {
          if (connection.isOpen()) {
            idle.add(connection);
          }
          assign();
        });
  }

  /** A call ended that had no connection yet. */
  void releaseNone() {
    assign();
  }

  /** A call on this connection failed, which leaves it in an unknown state. */
  void discard(ClientConnection connection) {
    IoUtils.safeClose(connection);
    assign();
  }
}
