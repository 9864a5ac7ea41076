/** Reports on requests that crash targets, as entries exchange them in the table service. */
package io.fireflyshed.protocol.poison;
