/**
 * Dependencies between jobs.
 *
 * <p>Responsibility: derives from the durable records whether each job is ready or aborted, and
 * computes the deadlines and priorities that jobs inherit from their dependents along the critical
 * path. Owns: the dependency graph, which every controller keeps because responses to users depend
 * on it. No derived value is stored in the state service.
 *
 * <p>Allowed dependencies: {@code state}, {@code eventloop}, and {@code model}.
 */
package org.ploverspindle.pipelines;
