/** State: plain data and the interfaces of the systems outside; imports no other layer. */
package io.fireflyshed.state;
