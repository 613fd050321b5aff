/**
 * The leader's view of the cluster during one term: jobs, machines, and the placements of tasks on
 * them.
 *
 * <p>Responsibility: keeps the tables of jobs and machines and each team's resource usage, handles
 * heartbeats, decides which commands are sent to workers, decides when a placement is proven gone,
 * and detects faulty machines.
 *
 * <p>Owns: {@link org.ploverspindle.cluster.JobTable JobTable}, {@link
 * org.ploverspindle.cluster.MachineRegistry MachineRegistry}, and the wire names of heartbeats and
 * commands ({@link org.ploverspindle.cluster.HeartbeatCodec HeartbeatCodec}). Only {@link
 * org.ploverspindle.cluster.HeartbeatHandler HeartbeatHandler} and {@link
 * org.ploverspindle.cluster.DirectCommands DirectCommands} send launches. Only {@code
 * MachineRegistry} removes a placement. The classes that make up a job or a machine, and the
 * methods that record a launch as sent, are package-private.
 *
 * <p>Allowed dependencies: {@code model}, {@code state}, {@code net} and {@code settings}.
 */
package org.ploverspindle.cluster;
