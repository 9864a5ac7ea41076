/** The traffic configuration: routes, services, client accounts and limits. */
package io.fireflyshed.state.traffic;
