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
 * The connections to one target, and the calls that wait for a connection. Must be used on the I/O
 * thread only.
 */
final class ConnectionPool {
  /** The largest number of calls that may wait for a connection to the target. */
  static final int MAX_WAITING_CALLS = 200;

  private final XnioIoThread ioThread;
  private final ByteBufferPool buffers;
  private final URI target;
  private final int maxConnections;
  private final boolean persistent;

  /**
   * Connections that serve no call. The most recently used one is last and is assigned first, as
   * the target is least likely to have closed it.
   */
  private final Deque<ClientConnection> idleConnections = new ArrayDeque<>();

  private final Deque<HttpCall> waitingCalls = new ArrayDeque<>();

  /** The number of connections that are open or being opened. */
  private int connectionCount;

  /**
   * @param persistent whether a connection is kept open for further calls
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

  /** Returns whether the number of waiting calls has reached its limit. */
  boolean isQueueFull() {
    return waitingCalls.size() >= MAX_WAITING_CALLS;
  }

  /** Starts the call as soon as a connection is available for it. */
  void enqueue(HttpCall call) {
    waitingCalls.add(call);
    assignConnections();
  }

  /** Removes the call from the queue if it still waits for a connection. */
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
        // The call ended while the connection was being opened. Other calls can use the connection.
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
   * Takes back the connection of a call that got its response.
   *
   * @param reusable whether the target keeps the connection open
   */
  void release(ClientConnection connection, boolean reusable) {
    if (!reusable || !persistent) {
      IoUtils.safeClose(connection);
      return;
    }
    // The exchange on the connection ends only after its listener has returned, so the connection
    // is reused in a later run of the I/O thread.
    ioThread.execute(
        () -> {
          if (connection.isOpen()) {
            idleConnections.add(connection);
          }
          assignConnections();
        });
  }

  /** Assigns connections again after a call has ended to which none had been assigned. */
  void handleUnsentCallEnded() {
    assignConnections();
  }

  /** Closes the connection of a failed call, since its state is unknown. */
  void discard(ClientConnection connection) {
    IoUtils.safeClose(connection);
    assignConnections();
  }
}
