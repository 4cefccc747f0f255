package org.celeryhill.measure.oddserver;

import java.util.Locale;
import java.util.function.IntToDoubleFunction;

/**
 * Draws the work done and the share of 502 of a sweep as SVG, over the share of odd
 * answers. The shares are drawn at equal distances.
 */
final class SweepPicture {

	private static final int WIDTH = 640;

	private static final int HEIGHT = 320;

	private static final int MARGIN = 48;

	private static final int GRID_LINES = 5;

	private static final double PERCENT = 100;

	private final StringBuilder text = new StringBuilder();

	private final Sweep sweep;

	private SweepPicture(Sweep sweep) {
		this.sweep = sweep;
	}

	/**
	 * Draws a sweep.
	 * @param sweep the figures
	 * @return the picture as an SVG document
	 */
	static String draw(Sweep sweep) {
		return new SweepPicture(sweep).draw();
	}

	private String draw() {
		add("<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" font-family=\"sans-serif\""
				+ " font-size=\"12\">", WIDTH, HEIGHT);
		add("<rect width=\"%d\" height=\"%d\" fill=\"white\"/>", WIDTH, HEIGHT);
		addGrid();
		addLine("own answers, relative to the first share (in 100)", "#1f5fa8", 0,
				(index) -> PERCENT * this.sweep.relativeOwn(index));
		addLine("502 in 100 requests", "#b8321f", 1,
				(index) -> this.sweep.median(index, (run) -> run.percent(Answer.BAD_GATEWAY)));
		add("</svg>");
		return this.text.toString();
	}

	private void addGrid() {
		for (int i = 0; i <= GRID_LINES; i++) {
			double value = PERCENT * i / GRID_LINES;
			add("<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>", MARGIN, WIDTH - MARGIN, y(value),
					y(value));
			add("<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%.0f</text>", MARGIN - 6, y(value) + 4, value);
		}
		for (int i = 0; i < this.sweep.size(); i++) {
			add("<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s</text>", x(i), HEIGHT - MARGIN + 18,
					String.format(Locale.ROOT, "%.4g", this.sweep.share(i)).replaceAll("\\.?0+$", ""));
		}
		add("<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">odd answers in 100</text>", WIDTH / 2, HEIGHT - 10);
	}

	private void addLine(String label, String colour, int row, IntToDoubleFunction value) {
		StringBuilder points = new StringBuilder();
		for (int i = 0; i < this.sweep.size(); i++) {
			double y = y(value.applyAsDouble(i));
			points.append(String.format(Locale.ROOT, "%.1f,%.1f ", x(i), y));
			add("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"%s\"/>", x(i), y, colour);
		}
		add("<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>", points.toString().strip(),
				colour);
		add("<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>", MARGIN + row * WIDTH / 2, MARGIN / 2, colour, label);
	}

	private double x(int index) {
		return MARGIN + (double) index * (WIDTH - 2 * MARGIN) / Math.max(1, this.sweep.size() - 1);
	}

	// Values above 100 are drawn at the upper edge.
	private static double y(double value) {
		return HEIGHT - MARGIN - Math.min(PERCENT, value) / PERCENT * (HEIGHT - 2 * MARGIN);
	}

	private void add(String format, Object... values) {
		this.text.append(String.format(Locale.ROOT, format, values)).append('\n');
	}

}
