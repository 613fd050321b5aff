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
  private static final int MAX_WAITING_CALLS = 200;

  private final XnioIoThread ioThread;
  private final ByteBufferPool buffers;
  private final URI target;
  private final int maxConnections;
  private final boolean persistent;

  /** The most recently used last, which is the least likely to have been closed by the target. */
  private final Deque<ClientConnection> idleConnections = new ArrayDeque<>();

  private final Deque<HttpCall> waitingCalls = new ArrayDeque<>();

  /** Connections that are open or being opened. */
  private int connectionCount;

  /**
   * @param persistent whether a connection is kept after its call
   */
  ConnectionPool(
      XnioIoThread ioThread,
      ByteBufferPool buffers,
      URI target,
      int maxConnections,
      boolean persistent) {
    this.ioThread = ioThread;
    this.buffers = buffers;
    this.target = target;
    this.maxConnections = maxConnections;
    this.persistent = persistent;
  }

  /** Whether no further call may wait. */
  boolean isQueueFull() {
    return waitingCalls.size() >= MAX_WAITING_CALLS;
  }

  /** Starts the call as soon as there is a connection for it. */
  void enqueue(HttpCall call) {
    waitingCalls.add(call);
    assignConnections();
  }

  /** The call is not started any more, if it still waits. */
  void dequeue(HttpCall call) {
    waitingCalls.remove(call);
  }

  private void assignConnections() {
    while (!waitingCalls.isEmpty()) {
      ClientConnection connection = idleConnections.pollLast();
      if (connection != null) {
        if (connection.isOpen()) {
          waitingCalls.poll().start(connection);
        }
        continue;
      }
      if (connectionCount >= maxConnections) {
        return;
      }
      connect(waitingCalls.poll());
    }
  }

  private void connect(HttpCall call) {
    connectionCount++;
    UndertowClient.getInstance()
        .connect(new ConnectCallback(call), target, ioThread, buffers, OptionMap.EMPTY);
  }

  private final class ConnectCallback implements ClientCallback<ClientConnection> {
    private final HttpCall call;
    private boolean ended;

    ConnectCallback(HttpCall call) {
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
        idleConnections.add(connection);
        assignConnections();
      } else {
        IoUtils.safeClose(connection);
      }
    }

    @Override
    public void failed(IOException cause) {
      if (!ended) {
        ended = true;
        connectionCount--;
      }
      call.fail(cause);
    }
  }

  private void handleClosed(ClientConnection connection) {
    connectionCount--;
    idleConnections.remove(connection);
    assignConnections();
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
    ioThread.execute(
        () -> {
          if (connection.isOpen()) {
            idleConnections.add(connection);
          }
          assignConnections();
        });
  }

  /** A call ended that had no connection yet. */
  void handleUnsentCallEnded() {
    assignConnections();
  }

  /** A call on this connection failed, which leaves it in an unknown state. */
  void discard(ClientConnection connection) {
    IoUtils.safeClose(connection);
    assignConnections();
  }
}
