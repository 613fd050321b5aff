package org.ploverspindle.leases;

/**
 * The recorded holder of a role.
 *
 * @param controllerName the name of the controller that holds the role
 * @param nonce a random text that identifies the controller's process, so that the controller
 *     counts as a different holder after a restart
 * @param epoch the fencing token, which is higher for each later holder
 * @param leaseId the id of the state service lease that the record is attached to
 */
public record RoleHolder(String controllerName, String nonce, long epoch, long leaseId) {}
