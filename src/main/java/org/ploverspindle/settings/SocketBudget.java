package org.ploverspindle.settings;

/**
 * The sockets that a controller opens or keeps for itself; all others are for machines and users.
 *
 * @param state connections to the state service
 * @param cloud connections to the cloud
 * @param directCommands connections to machines, one for each direct command under way
 * @param peers connections to and from other controllers
 */
public record SocketBudget(int state, int cloud, int directCommands, int peers) {
  private static final int STATE_CONNECTIONS = 6;
  private static final int CLOUD_CONNECTIONS = 3;

  /**
   * One connection to each other controller, one from it, and a second one from it while a lost
   * first one is not noticed yet.
   */
  private static final int CONNECTIONS_PER_CONTROLLER = 3;

  private static final int LEAST_DIRECT_COMMANDS = 48;

  /** One socket in so many: who has sockets for a large fleet has them for its commands too. */
  private static final int SOCKETS_PER_DIRECT_COMMAND = 64;

  /** Sockets that listen, and those that are being closed. */
  private static final int SPARE = 10;

  /** The budget of a process with these settings. */
  public static SocketBudget of(Settings settings) {
    return of(settings, settings.quota().maxConnections());
  }

  private static SocketBudget of(Settings settings, int maxConnections) {
    return new SocketBudget(
        STATE_CONNECTIONS,
        CLOUD_CONNECTIONS,
        Math.max(LEAST_DIRECT_COMMANDS, maxConnections / SOCKETS_PER_DIRECT_COMMAND),
        CONNECTIONS_PER_CONTROLLER * settings.nodes());
  }

  /** How many sockets a process needs for so many connections of machines and users. */
  static int neededFor(Settings settings, int connections) {
    int needed = connections;
    while (needed < connections + of(settings, needed).own()) {
      needed = connections + of(settings, needed).own();
    }
    return needed;
  }

  /** All of them together. */
  public int own() {
    return state + cloud + directCommands + peers + SPARE;
  }
}
