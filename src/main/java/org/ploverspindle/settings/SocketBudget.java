package org.ploverspindle.settings;

/**
 * The sockets that a controller reserves for its own connections. All other sockets of its quota
 * are for connections of workers and users.
 *
 * @param state connections to the state service
 * @param cloud connections to the cloud
 * @param directCommands connections to workers, one for each direct command in progress
 * @param peers connections to and from other controllers
 */
public record SocketBudget(int state, int cloud, int directCommands, int peers) {
  private static final int STATE_CONNECTIONS = 6;
  private static final int CLOUD_CONNECTIONS = 3;

  /**
   * For each other controller: one connection to it, one from it, and a second one from it while
   * the loss of the first is not detected yet. {@link #of} reserves as many for this controller
   * too.
   */
  private static final int CONNECTIONS_PER_CONTROLLER = 3;

  private static final int MIN_DIRECT_COMMAND_SOCKETS = 48;

  /** The budget of direct commands is proportional to the sockets, so it grows with the fleet. */
  private static final int SOCKETS_PER_DIRECT_COMMAND = 64;

  /** Listening sockets, and sockets of connections that are being closed. */
  private static final int SPARE_SOCKETS = 10;

  /** The budget of a controller with these settings. */
  public static SocketBudget of(Settings settings) {
    return of(settings, settings.quota().maxConnections());
  }

  private static SocketBudget of(Settings settings, int maxConnections) {
    return new SocketBudget(
        STATE_CONNECTIONS,
        CLOUD_CONNECTIONS,
        Math.max(MIN_DIRECT_COMMAND_SOCKETS, maxConnections / SOCKETS_PER_DIRECT_COMMAND),
        CONNECTIONS_PER_CONTROLLER * settings.controllerCount());
  }

  /** The number of sockets that suffices for this many connections of workers and users. */
  static int neededFor(Settings settings, int connections) {
    int needed = connections;
    while (needed < connections + of(settings, needed).total()) {
      needed = connections + of(settings, needed).total();
    }
    return needed;
  }

  /** The total number of sockets of this budget, including the spare ones. */
  public int total() {
    return state + cloud + directCommands + peers + SPARE_SOCKETS;
  }
}
