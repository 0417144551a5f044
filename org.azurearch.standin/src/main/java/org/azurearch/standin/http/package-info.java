/** Small HTTP server on Netty's codec, shared by the stand-ins. */
@NullMarked
package org.azurearch.standin.http;

import org.jspecify.annotations.NullMarked;
