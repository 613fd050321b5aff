package org.ploverspindle.net;

import io.undertow.connector.ByteBufferPool;
import java.net.URI;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.xnio.XnioIoThread;

/**
 * An HTTP client for one target, on Undertow's client. Adds what that leaves to its users: a
 * bounded {@link ConnectionPool pool} of persistent connections with a bounded queue, and a time
 * limit for each {@link HttpCall call} as a whole. All state is confined to one I/O thread.
 */
public final class UndertowHttpClient implements HttpClient {
  private final Scheduler scheduler;
  private final XnioIoThread io;
  private final URI target;
  private final ConnectionPool connections;

  private UndertowHttpClient(
      Scheduler scheduler, XnioIoThread io, URI target, ConnectionPool connections) {
    this.scheduler = scheduler;
    this.io = io;
    this.target = target;
    this.connections = connections;
  }

  /**
   * A client with persistent connections.
   *
   * @param address the target's host and port, as in {@code 10.0.0.1:8080}
   * @param maxConnections how many calls may be in flight; others wait
   */
  public static UndertowHttpClient persistent(
      Scheduler scheduler,
      XnioIoThread io,
      ByteBufferPool buffers,
      String address,
      int maxConnections) {
    URI target = target(address);
    return new UndertowHttpClient(
        scheduler, io, target, new ConnectionPool(io, buffers, target, maxConnections, true));
  }

  /**
   * A client for a single call: its connection is closed afterwards. For targets of which there are
   * too many to keep a connection to each.
   */
  public static UndertowHttpClient once(
      Scheduler scheduler, XnioIoThread io, ByteBufferPool buffers, String address) {
    URI target = target(address);
    return new UndertowHttpClient(
        scheduler, io, target, new ConnectionPool(io, buffers, target, 1, false));
  }

  private static URI target(String address) {
    return URI.create("http://" + address);
  }

  @Override
  public void send(
      String method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> then) {
    HttpCall.Request request = new HttpCall.Request(target, method, path, body);
    io.execute(() -> new HttpCall(scheduler, io, connections, request, then).submit(timeoutMs));
  }
}
