/**
 * Decides which pending task starts on which machine, and which capacity is missing.
 *
 * <p>Responsibility: orders pending jobs, selects machines, protects jobs from starvation, preempts
 * tasks, estimates runtimes and arrival rates, and plans scale-out. Owns: the estimates and the
 * arrival statistics of a term. The package only decides; durable writes, commands to workers and
 * requests to the cloud are made elsewhere.
 *
 * <p>Allowed dependencies: {@code cluster}, {@code model}, {@code settings}.
 */
package org.ploverspindle.placement;
