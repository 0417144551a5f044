package org.azurearch.standin.backend;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.azurearch.lib.Digest;

/**
 * The answer of a backend server stand-in. It is a pure function of the request, so that a caller
 * can tell whether the whole answer to its own request has arrived.
 */
public final class EchoAnswer {
    /** Header with the text that the answer must repeat. */
    public static final String NONCE_HEADER = "x-nonce";

    /** Header with the least size of the answer, in bytes. */
    public static final String ANSWER_BYTES_HEADER = "x-answer-bytes";

    /** Largest answer, in bytes. */
    public static final int MAX_BYTES = 1_048_576;

    private static final byte FILLER = 'z';
    private static final byte END = '\n';

    private EchoAnswer() {}

    /**
     * Returns the answer to a request.
     *
     * @param nonce the text to repeat
     * @param body the body of the request
     * @param leastBytes the least size of the answer
     */
    public static byte[] of(String nonce, byte[] body, int leastBytes) {
        String head =
                "nonce=" + nonce + " length=" + body.length + " digest=" + Digest.of(body).name();
        byte[] text = head.getBytes(StandardCharsets.US_ASCII);
        int size = Math.min(MAX_BYTES, Math.max(text.length + 1, leastBytes));
        byte[] answer = Arrays.copyOf(text, Math.max(size, text.length + 1));
        Arrays.fill(answer, text.length, answer.length - 1, FILLER);
        answer[answer.length - 1] = END;
        return answer;
    }
}
