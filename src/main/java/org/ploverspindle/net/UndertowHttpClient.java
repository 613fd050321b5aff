package org.ploverspindle.net;

import io.undertow.connector.ByteBufferPool;
import java.net.URI;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.xnio.XnioIoThread;

/**
 * An HTTP client for one target, based on Undertow's client. It adds what Undertow's client does
 * not provide: a bounded {@link ConnectionPool pool} of connections with a bounded queue, and a
 * time limit for each {@link HttpCall call} as a whole. All state is confined to one I/O thread.
 */
public final class UndertowHttpClient implements HttpClient {
  private final Scheduler scheduler;
  private final XnioIoThread ioThread;
  private final URI targetUri;
  private final ConnectionPool connectionPool;

  private UndertowHttpClient(
      Scheduler scheduler, XnioIoThread ioThread, URI targetUri, ConnectionPool connectionPool) {
    this.scheduler = scheduler;
    this.ioThread = ioThread;
    this.targetUri = targetUri;
    this.connectionPool = connectionPool;
  }

  /**
   * Creates a client that keeps its connections open for further calls.
   *
   * @param address the target's host and port, as in {@code 10.0.0.1:8080}
   * @param maxConnections the largest number of connections, and so of calls in flight; further
   *     calls wait for a connection
   */
  public static UndertowHttpClient persistent(
      Scheduler scheduler,
      XnioIoThread ioThread,
      ByteBufferPool buffers,
      String address,
      int maxConnections) {
    URI target = targetUri(address);
    return new UndertowHttpClient(
        scheduler,
        ioThread,
        target,
        new ConnectionPool(ioThread, buffers, target, maxConnections, true));
  }

  /**
   * Creates a client for a single call, after which its connection is closed. It is meant for
   * targets that are too many to keep a connection open to each.
   */
  public static UndertowHttpClient nonPersistent(
      Scheduler scheduler, XnioIoThread ioThread, ByteBufferPool buffers, String address) {
    URI target = targetUri(address);
    return new UndertowHttpClient(
        scheduler, ioThread, target, new ConnectionPool(ioThread, buffers, target, 1, false));
  }

  private static URI targetUri(String address) {
    return URI.create("http://" + address);
  }

  @Override
  public void send(
      String method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> callback) {
    HttpCall.Request request = new HttpCall.Request(targetUri, method, path, body);
    ioThread.execute(
        () ->
            new HttpCall(scheduler, ioThread, connectionPool, request, callback).submit(timeoutMs));
  }
}
