/** Notices that entry processes exchange. */
package io.fireflyshed.state.peer;
